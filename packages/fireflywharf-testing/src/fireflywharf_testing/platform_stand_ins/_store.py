"""Stand-in for the platform's store: topics, producers with epochs, and keyed topics."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Callable
from enum import Enum

import attrs
import msgspec
from aiohttp import web

from ._listener import stay_silent

LENGTH_PREFIX = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
KEYED_PREFIX = "keyed."
PAGE_ITEMS = 500
SILENCE_S = 30.0
REMEMBERED_ANSWERS = 5


class StoreFault(Enum):
    """How the store fails.

    Attributes:
        NONE: no fault.
        DOWN: each call is answered with status 503.
        SILENT: each call is delayed by `SILENCE_S`.
        ANSWER_LOST: appends take effect, but their answers are delayed by `SILENCE_S`.
        APPLIED_LATE: appends take effect after `late_s`, and their answers are delayed by
            `SILENCE_S`.
    """

    NONE = "none"
    DOWN = "down"
    SILENT = "silent"
    ANSWER_LOST = "answer lost"
    APPLIED_LATE = "applied late"


@attrs.define(slots=True, eq=False)
class Topic:
    """Records of one partition of a topic and the state of its producers.

    Args:
        first_offset: offset of the oldest record that is kept.
        records: kept records.
        newest_by_key: offset and value of the newest record of each key, in keyed topics.
        epochs: newest epoch of each producer.
        sequences: sequence number of the newest append of each producer.
        recent_answers: sequence numbers and answers of the last appends of each producer.
        records_added: set and replaced by a new event at each append.
    """

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    newest_by_key: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    epochs: dict[str, int] = attrs.field(factory=dict)
    sequences: dict[str, int] = attrs.field(factory=dict)
    recent_answers: dict[str, list[tuple[int, dict]]] = attrs.field(factory=dict)
    records_added: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """Offset that the next record gets."""
        return self.first_offset + len(self.records)


def split_records(body: bytes) -> list[bytes]:
    """Split the body of an append into its length-prefixed records."""
    records, position = [], 0
    while position < len(body):
        (size,) = LENGTH_PREFIX.unpack_from(body, position)
        records.append(body[position + LENGTH_PREFIX.size : position + LENGTH_PREFIX.size + size])
        position += LENGTH_PREFIX.size + size
    return records


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic; an empty value deletes the key."""
    return bytes([len(key)]) + key.encode() + value


class StandInStore:
    """Answers the calls of one store, with faults.

    Attributes:
        topics: partitions by name of the topic, with the number of the partition if it is not 0.
        fault: fault in force.
        late_s: delay in seconds of appends under `StoreFault.APPLIED_LATE`.
        calls: number of calls by name of the call.
        drops_request: tells whether the network drops a request and its answer.
        observe_record: called with topic, key and value of each record of a keyed topic.
    """

    def __init__(self) -> None:
        self.drops_request: Callable[[web.BaseRequest], bool] = lambda request: False
        self.observe_record: Callable[[str, str, bytes], None] = lambda name, key, value: None
        self.topics: dict[str, Topic] = {}
        self.fault = StoreFault.NONE
        self.late_s = 1.0
        self.calls: dict[str, int] = {}
        self._late_appends: set[asyncio.Task] = set()

    def topic(self, name: str, part: int = 0) -> Topic:
        """Return a partition of a topic; create it on first use."""
        return self.topics.setdefault(f"{name}/{part}" if part else name, Topic())

    def _find_topic(self, query) -> Topic:
        return self.topic(query["topic"], int(query["part"]))

    def put(self, name: str, key: str, value: object) -> None:
        """Append a record to a keyed topic, as the operator or an executor does.

        Args:
            name: name of the topic.
            key: key of the record.
            value: bytes, or an object to encode as JSON.
        """
        content = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._append_records(name, self.topic(name), [encode_keyed_record(key, content)])

    def compact_topics(self) -> None:
        """Compact all topics: delete their records, but keep the newest one of each key."""
        for topic in self.topics.values():
            topic.first_offset, topic.records = topic.end_offset, []

    def _append_records(self, name: str, topic: Topic, records: list[bytes]) -> dict:
        """Append records and return the body of the answer."""
        offset = topic.end_offset
        for record in records:
            if name.startswith(KEYED_PREFIX):
                size = record[0]
                key, value = record[1 : 1 + size].decode(), record[1 + size :]
                if value:
                    topic.newest_by_key[key] = (topic.end_offset, value)
                else:
                    topic.newest_by_key.pop(key, None)
                self.observe_record(name, key, value)
            topic.records.append(record)
        if records:
            topic.records_added.set()
            topic.records_added = asyncio.Event()
        return {"offset": offset, "end": topic.end_offset}

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request, unless the network drops it or its answer."""
        if self.drops_request(request):
            return await stay_silent(request.transport)
        response = await self._serve_call(request)
        if self.drops_request(request):
            return await stay_silent(request.transport)
        return response

    async def _serve_call(self, request: web.BaseRequest) -> web.StreamResponse:
        call = request.path.rpartition("/")[2]
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.fault is StoreFault.DOWN:
            return web.Response(status=503)
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(SILENCE_S)
        match call:
            case "log-append":
                return await self._serve_append(request)
            case "log-read":
                return await self._serve_read(request)
            case "log-newest":
                return self._serve_newest(request)
        return web.Response(status=404)

    async def _serve_append(self, request: web.BaseRequest) -> web.StreamResponse:
        name, records = request.query["topic"], split_records(await request.read())
        if name in ("keyed.op", "keyed.servers"):
            return web.Response(status=403)
        if self.fault is StoreFault.APPLIED_LATE:
            task = asyncio.get_running_loop().create_task(self._apply_late(request.query, records))
            self._late_appends.add(task)
            task.add_done_callback(self._late_appends.discard)
            await asyncio.sleep(SILENCE_S)
        status, body = self._apply_append(request.query, records)
        if self.fault is StoreFault.ANSWER_LOST:
            await asyncio.sleep(SILENCE_S)
        return web.json_response(body, status=status)

    async def _apply_late(self, query, records: list[bytes]) -> None:
        await asyncio.sleep(self.late_s)
        self._apply_append(query, records)

    def _apply_append(self, query, records: list[bytes]) -> tuple[int, dict]:
        """Check the end offset and the producer, append; return the status and the body."""
        topic = self._find_topic(query)
        if "at" in query and int(query["at"]) != topic.end_offset:
            return 412, {"end": topic.end_offset}
        producer = query.get("producer")
        if producer is None:
            return 200, self._append_records(query["topic"], topic, records)
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < topic.epochs.get(producer, -1):
            return 409, {"reason": "fenced"}
        if epoch > topic.epochs.get(producer, -1):
            topic.epochs[producer] = epoch
            topic.recent_answers[producer] = []
        else:
            for known, answer in topic.recent_answers[producer]:
                if known == sequence:
                    return 200, answer
            expected = topic.sequences[producer] + 1
            if sequence != expected:
                return 409, {"reason": "seq", "sequence": expected}
        topic.sequences[producer] = sequence
        answer = self._append_records(query["topic"], topic, records)
        recent_answers = topic.recent_answers[producer]
        recent_answers.append((sequence, answer))
        del recent_answers[:-REMEMBERED_ANSWERS]
        return 200, answer

    async def _serve_read(self, request: web.BaseRequest) -> web.StreamResponse:
        topic = self._find_topic(request.query)
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000.0
        if start >= topic.end_offset and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.records_added.wait()
            except TimeoutError:
                pass
        if start < topic.first_offset:
            return web.json_response({"first": topic.first_offset}, status=410)
        records = topic.records[start - topic.first_offset :]
        body = READ_HEADER.pack(topic.end_offset, topic.first_offset)
        body += b"".join(LENGTH_PREFIX.pack(len(record)) + record for record in records)
        return web.Response(body=body)

    def _serve_newest(self, request: web.BaseRequest) -> web.StreamResponse:
        topic = self._find_topic(request.query)
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest_by_key if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest_by_key[key][1]).decode(),
                "offset": topic.newest_by_key[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        return web.json_response({"items": items, "more_pages": more, "end": topic.end_offset})
