"""Reader of one stream: decoding, duplicates, truncation."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from ..platform import LogEntry, ReadAnswer
from ..records import TaggedCodec, UndecodableError, UnknownTypeError


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """A decoded record and its place in the stream."""

    offset: int
    record: Any
    writer: str = ""


@dataclass(frozen=True, slots=True)
class Truncation:
    """Records from `from_offset` up to, but without, `first_available` were deleted unread."""

    from_offset: int
    first_available: int


class StreamReader:
    """Turns the read answers of one stream into decoded records without repeats.

    A writer uses a sequence only after the one before it is in the log. A record whose (sequence,
    index) is not above the highest of its writer is therefore a repeat, however late it comes.

    Args:
        stream: name of the stream.
        codec: codec of the records.
        next_offset: offset to start from.
        max_writers: writers whose highest sequence is remembered; the one that was silent for
            longest is forgotten first.
    """

    def __init__(
        self, stream: str, codec: TaggedCodec, next_offset: int = 0, max_writers: int = 4096
    ) -> None:
        self.stream = stream
        self.codec = codec
        self.max_writers = max_writers
        self.next_offset = next_offset
        self.first_available = 0
        self.at_end = False
        self.truncation: Truncation | None = None
        self.duplicates_count_ = 0
        self.unknown_count_ = 0
        self.undecodable_count_ = 0
        self.truncated_count_ = 0
        self.ignored_answers_count_ = 0
        self._highest: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def on_read(self, answer: ReadAnswer) -> list[ReadRecord]:
        """Take the answer to a read from `next_offset`.

        Afterwards `truncation` tells whether this answer showed a loss, and `at_end` whether it
        reached the end of the stream.

        Args:
            answer: answer of the log; an answer to an older read is ignored.

        Returns:
            The new records in order.
        """
        self.truncation = None
        start = max(self.next_offset, answer.first_available)
        entries = [entry for entry in answer.entries if entry.offset >= start]
        misplaced = bool(entries) and entries[0].offset != start
        if answer.next_offset < self.next_offset or misplaced:
            self.ignored_answers_count_ += 1
            return []
        self.first_available = max(self.first_available, answer.first_available)
        if answer.first_available > self.next_offset:
            self.truncation = Truncation(self.next_offset, answer.first_available)
            self.truncated_count_ += 1
        self.at_end = not answer.entries
        self.next_offset = max(start, answer.next_offset)
        return [record for entry in entries if (record := self._decode(entry)) is not None]

    def _decode(self, entry: LogEntry) -> ReadRecord | None:
        place = (entry.sequence, entry.index)
        if place <= self._highest.get(entry.writer, (-1, -1)):
            self.duplicates_count_ += 1
            return None
        self._highest[entry.writer] = place
        self._highest.move_to_end(entry.writer)
        if len(self._highest) > self.max_writers:
            self._highest.popitem(last=False)
        try:
            return ReadRecord(entry.offset, self.codec.decode(entry.payload), entry.writer)
        except UnknownTypeError:
            self.unknown_count_ += 1
        except UndecodableError:
            self.undecodable_count_ += 1
        return None
