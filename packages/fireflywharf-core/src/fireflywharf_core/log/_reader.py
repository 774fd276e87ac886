"""Reader of one stream: decoding, removal of duplicates, detection of truncation."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from ..platform import LogEntry, ReadAnswer
from ..records import TaggedCodec, UndecodableError, UnknownTypeError


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """A decoded record with its offset in the stream and its writer."""

    offset: int
    record: Any
    writer: str = ""


@dataclass(frozen=True, slots=True)
class Truncation:
    """The log deleted the records from `from_offset` to before `first_available` unread."""

    from_offset: int
    first_available: int


class StreamReader:
    """Converts read answers of one stream into decoded records without duplicates.

    A writer uses a sequence only after the one before it is in the log. A record whose (sequence,
    index) is not above the highest one of its writer is therefore a duplicate, however late it
    arrives.

    Args:
        stream: name of the stream.
        codec: codec of the records.
        next_offset: offset of the first record to read.
        max_writers: writers whose highest sequence is kept; the one without records for the longest
            time is removed first.

    Attributes:
        next_offset: offset of the next record to read.
        first_available: lowest offset that the log still keeps.
        at_end: whether the latest answer reached the end of the stream.
        truncation: records that the latest answer showed to be deleted unread, or None.
        duplicates_count_: duplicates left out.
        unknown_count_: records of unknown type left out.
        undecodable_count_: damaged records left out.
        truncated_count_: answers that showed a truncation.
        ignored_answers_count_: answers to earlier reads.
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
        self._highest_positions: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def on_read(self, answer: ReadAnswer) -> list[ReadRecord]:
        """Process the answer to a read from `next_offset`.

        Sets `truncation` to the records that the log deleted unread, if any, and `at_end` to
        whether the end of the stream was reached.

        Args:
            answer: answer of the log; an answer to an earlier read is ignored.

        Returns:
            The new records in log order.
        """
        self.truncation = None
        start = max(self.next_offset, answer.first_available)
        entries = [entry for entry in answer.entries if entry.offset >= start]
        is_misplaced = [entry.offset for entry in entries] != list(
            range(start, start + len(entries))
        )
        if answer.next_offset < self.next_offset or is_misplaced:
            self.ignored_answers_count_ += 1
            return []
        self.first_available = max(self.first_available, answer.first_available)
        if answer.first_available > self.next_offset:
            self.truncation = Truncation(self.next_offset, answer.first_available)
            self.truncated_count_ += 1
        # An answer that promises records behind those that it contains must not skip them.
        self.next_offset = start + len(entries)
        self.at_end = not answer.entries and answer.next_offset <= start
        return [record for entry in entries if (record := self._decode(entry)) is not None]

    def _decode(self, entry: LogEntry) -> ReadRecord | None:
        position = (entry.sequence, entry.index)
        if position <= self._highest_positions.get(entry.writer, (-1, -1)):
            self.duplicates_count_ += 1
            return None
        self._highest_positions[entry.writer] = position
        self._highest_positions.move_to_end(entry.writer)
        if len(self._highest_positions) > self.max_writers:
            self._highest_positions.popitem(last=False)
        try:
            return ReadRecord(entry.offset, self.codec.decode(entry.payload), entry.writer)
        except UnknownTypeError:
            self.unknown_count_ += 1
        except UndecodableError:
            self.undecodable_count_ += 1
        return None
