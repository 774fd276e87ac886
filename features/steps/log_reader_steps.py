"""Steps for the readers of the log, against a log whose calls fail."""

import asyncio
import base64
import contextlib
import itertools
import json
import random
import struct
import sys
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when
from platform_inputs import ENTRY
from platform_processes import ROOT

from fireflywharf_core.log import StreamReader
from fireflywharf_core.platform import LogEntry, ReadAnswer
from fireflywharf_core.records import RECORD_CODEC, WorkerRemoved
from fireflywharf_core.workflows import VmPresent, decode_record, encode_record
from fireflywharf_daemon.workflows import Answer, NoAnswer, NotSent
from fireflywharf_daemon.workflows._journal import JournalReader

sys.path.append(str(ROOT / "platform"))
from fireflywharf_platform._sources import StoreConfiguration, StoreDirectory  # noqa: E402
from fireflywharf_platform._store import StoreClient  # noqa: E402

HEAD, LENGTH = struct.Struct(">QQ"), struct.Struct(">I")
FAULT_SHARE = 0.5
STEPS_COUNT = 40
CALM_READS_COUNT = 4
PAGE_ITEMS = 2
DELETED_SHARE = 0.2
KEYS = {
    "configuration": ["config", "wave/1", "wave/2"],
    "directory": ["i-1", "i-2", "i-3"],
    "journal": ["vm-1", "vm-2", "vm-3"],
}


class FaultyLog:
    """HTTP client that serves one keyed topic; its calls fail at random or as scripted.

    Args:
        rng: source of the faults; None without random faults.

    Attributes:
        records: pairs of key and value by offset.
        first: offset of the oldest record that has not expired.
        script: results of the next calls, by call; an empty string for success.
        on_wait: called while an answer is late.
    """

    def __init__(self, rng=None):
        self.rng = rng
        self.records = []
        self.first = 0
        self.script = []
        self.on_wait = lambda: None

    def append(self, key, value):
        self.records.append((key, value))

    def newest(self):
        """Return offset and value of the newest record of each key that was not deleted."""
        found = {key: (offset, value) for offset, (key, value) in enumerate(self.records)}
        return {key: row for key, row in found.items() if row[1]}

    def _draw_fault(self):
        if self.script:
            return self.script.pop(0)
        if self.rng is None or self.rng.random() >= FAULT_SHARE:
            return ""
        return self.rng.choice(
            [
                "status 429",
                "status 503",
                "no answer",
                "not sent",
                "connection reset",
                "cut off",
                "few records",
                "expired",
                "late",
                "cancelled",
            ]
        )

    async def call(self, method, url, *, timeout_s, wait_s=0.0, silence_s=None):
        """Answer one request."""
        fault = self._draw_fault()
        match fault:
            case "status 429" | "status 503":
                return Answer(int(fault.split()[1]), b"")
            case "no answer":
                return NoAnswer("no answer in time")
            case "connection reset":
                return NoAnswer("ClientOSError: connection reset")
            case "not sent":
                return NotSent("connecting timed out")
            case "cancelled":
                raise asyncio.CancelledError
            case "expired":
                self.first = len(self.records)
        query = {key: values[0] for key, values in parse_qs(urlsplit(url).query).items()}
        if "log-newest" in url:
            answer = self._serve_newest(query)
        else:
            answer = self._serve_read(query, fault == "few records")
        if fault == "late":
            self.on_wait()
        if fault == "cut off before the first record":
            return Answer(200, answer.body[: HEAD.size])
        if fault == "cut off" and answer.status == 200:
            rng = self.rng or random.Random(0)
            return Answer(200, answer.body[: rng.choice([0, 16, rng.randrange(len(answer.body))])])
        return answer

    def _serve_read(self, query, is_short):
        start = int(query["from"])
        if start < self.first:
            return Answer(410, json.dumps({"first": self.first}).encode())
        body = HEAD.pack(len(self.records), self.first)
        size = 0
        for key, value in self.records[start:]:
            if size and (is_short or size + len(value) > 1024 * int(query["max_kb"])):
                break
            content = bytes([len(key)]) + key.encode() + value
            body += LENGTH.pack(len(content)) + content
            size += len(value)
        return Answer(200, body)

    def _serve_newest(self, query):
        rows = sorted(row for row in self.newest().items() if row[0] > query.get("after", ""))
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in rows[:PAGE_ITEMS]
        ]
        body = {"items": items, "more_pages": len(rows) > PAGE_ITEMS, "end": len(self.records)}
        return Answer(200, json.dumps(body).encode())


def make_record(kind, name, number):
    """Return key and value of a record from which `number` can be read back.

    The value of a configuration is over 1 KB, so that one read returns one of them.
    """
    match kind, name:
        case "configuration", "config":
            return name, json.dumps({"version": number, "padding": "x" * 1500}).encode()
        case "configuration", _:
            return name, b"{}"
        case "directory", _:
            return name, json.dumps({**ENTRY, "born": number}).encode()
    return encode_record(VmPresent(vm=name, incarnation=str(number), address="10.0.0.1:1"))


def find_newest_numbers(kind, log):
    """Return the number of the newest record of each name that a reader shows."""
    values = [(key, value) for key, (_, value) in log.newest().items()]
    match kind:
        case "configuration":
            return {key: json.loads(value)["version"] for key, value in values if key == "config"}
        case "directory":
            return {key: json.loads(value)["born"] for key, value in values}
    records = [decode_record(value) for _, value in values]
    return {record.vm: int(record.incarnation) for record in records}


class ReaderUnderTest:
    """One reader and the numbers of the records that it has returned.

    Args:
        kind: name of the reader.
        log: the log.
    """

    def __init__(self, kind, log):
        self.kind = kind
        self.shown = {}
        self.went_back = []
        store = StoreClient(log, "127.0.0.1:1")
        match kind:
            case "configuration":
                self.source, self.known = StoreConfiguration(store), None
            case "directory":
                self.source = StoreDirectory(store)
            case "journal":
                self.source = JournalReader(store, lambda record, offset: None)

    async def read(self):
        """Read once, and note what the reader knows."""
        with contextlib.suppress(asyncio.CancelledError):
            await self._read()

    async def _read(self):
        match self.kind:
            case "configuration":
                self.known = await self.source.next_version(self.known) or self.known
                self._note({} if self.known is None else {"config": self.known.version})
            case "directory":
                directory = await self.source.poll()
                if directory is not None:
                    self._note({key: info.incarnation for key, info in directory.items()})
            case "journal":
                await self.source.catch_up()
                vms = self.source.journal_state.vms
                self._note({key: int(record.incarnation) for key, record in vms.items()})

    def _note(self, shown):
        for key, number in shown.items():
            if number < self.shown.get(key, 0):
                self.went_back.append((key, self.shown[key], number))
        self.shown = shown


def play(kind, seed):
    """Write and read with faults, then read without; return what was wrong."""
    rng = random.Random(seed)
    log = FaultyLog(rng)
    numbers = itertools.count(1)

    def write():
        key, value = make_record(kind, rng.choice(KEYS[kind]), next(numbers))
        is_deleted = kind == "directory" and rng.random() < DELETED_SHARE
        log.append(key, b"" if is_deleted else value)

    log.on_wait = write
    reader = ReaderUnderTest(kind, log)

    async def run():
        for _ in range(STEPS_COUNT):
            for _ in range(rng.choice([0, 0, 1, 1, 2, 4])):
                write()
            await reader.read()
        log.rng = None
        for _ in range(CALM_READS_COUNT):
            await reader.read()

    asyncio.run(run())
    return reader.shown == find_newest_numbers(kind, log), reader.went_back


@when("the {kind} reads a log with faults for seeds {first:d} to {last:d}")
def play_seeds(context, kind, first, last):
    context.outcomes = {seed: play(kind, seed) for seed in range(first, last + 1)}


@then("it knew the newest record of each key in the end for every seed")
def check_newest(context):
    failed = [seed for seed, (is_equal, _) in context.outcomes.items() if not is_equal]
    assert not failed, f"{len(failed)} seeds failed: {failed[:20]}"


@then("it never returned to an older record of a key")
def check_order(context):
    failed = {seed: back for seed, (_, back) in context.outcomes.items() if back}
    assert not failed, f"{len(failed)} seeds failed: {list(failed.items())[:3]}"


def open_configuration(context, second_key, second_value):
    log = context.log = FaultyLog()
    log.append(*make_record("configuration", "config", 1))
    context.reader = ReaderUnderTest("configuration", log)
    asyncio.run(context.reader.read())
    assert context.reader.known.version == 1
    log.append(*make_record("configuration", "config", 2))
    log.append(second_key, second_value)
    context.newest_version = 2


@given("a store with a new configuration, which is followed by a record of {other}")
def store_configuration(context, other):
    if other == "upkeep":
        open_configuration(context, "wave/1", b"{}")
    else:
        open_configuration(context, *make_record("configuration", "config", 3))
        context.newest_version = 3


@given("a store with a new configuration, which is followed by a malformed one")
def store_malformed_configuration(context):
    open_configuration(context, "config", b"{")


@when('the second read of the configuration ends with "{result}" and the later ones succeed')
def fail_second_read(context, result):
    context.log.script = ["", result]
    asyncio.run(context.reader.read())


@given("a store with a malformed configuration between two new ones")
def store_malformed_between(context):
    open_configuration(context, "config", b"{")
    context.log.append(*make_record("configuration", "config", 3))
    context.newest_version = 3


@when("the configuration is read")
def read_configuration_once(context):
    asyncio.run(context.reader.read())


@then("the new configuration is returned by one of the next {count:d} calls")
def check_configuration(context, count):
    for _ in range(count):
        asyncio.run(context.reader.read())
    assert context.reader.known.version == context.newest_version, context.reader.known.version


@given("a store whose next read of the directory is cut off before the first record")
def store_directory(context):
    log = context.log = FaultyLog()
    log.append(*make_record("directory", "i-1", 1))
    context.reader = ReaderUnderTest("directory", log)
    asyncio.run(context.reader.read())
    log.append(*make_record("directory", "i-2", 2))
    log.script = ["cut off before the first record"]


@when("the directory is polled {count:d} times")
def poll_directory(context, count):
    for _ in range(count):
        asyncio.run(context.reader.read())


@then("it has the worker of that record")
def check_directory(context):
    assert context.reader.shown == {"i-1": 1, "i-2": 2}, context.reader.shown


def make_entries(offsets):
    return [
        LogEntry(offset, "vm#0", offset, 0, RECORD_CODEC.encode(WorkerRemoved(f"w{offset}")))
        for offset in offsets
    ]


@when("a stream has {count:d} records and an answer contains {answered}, with the end {end:d}")
def answer_partly(context, count, answered, end):
    offsets = [] if answered == "none" else [int(word) for word in answered.split()]
    context.reader, context.entries = StreamReader("s", RECORD_CODEC), make_entries(range(count))
    context.records = context.reader.on_read(ReadAnswer(make_entries(offsets), end, 0))


@then("the reader continues at {offset:d} and is {state}")
def check_position(context, offset, state):
    assert context.reader.next_offset == offset == len(context.records), context.records
    assert context.reader.at_end == (state == "at the end"), context.reader.at_end


@then("it knows all records after an answer with all of them")
def check_all_records(context):
    entries = context.entries
    context.records += context.reader.on_read(ReadAnswer(entries, len(entries), 0))
    assert [row.offset for row in context.records] == list(range(len(entries)))
