"""Data of the platform log.

HTTP mapping: `POST /v1/streams/{stream}/append` with the JSON body `{"writer", "sequence",
"records_base64"}` answers an `AppendAnswer`; `GET /v1/streams/{stream}/records?offset=&limit=`
answers a `ReadAnswer`.
"""

import attrs


@attrs.frozen(slots=True)
class LogEntry:
    """One record of a stream.

    Args:
        offset: position in the stream.
        writer: incarnation that appended it.
        sequence: append number of that writer in that stream.
        index: position of the record within its append.
        payload: encoded record.
    """

    offset: int
    writer: str
    sequence: int
    index: int
    payload: bytes


@attrs.frozen(slots=True)
class AppendAnswer:
    """Answer to an append: the offset of its first record."""

    first_offset: int


@attrs.frozen(slots=True)
class ReadAnswer:
    """Answer to a read.

    Args:
        entries: records in order, starting at the asked offset or at `first_available`.
        next_offset: offset to ask for next.
        first_available: lowest offset that the log still keeps.
    """

    entries: list[LogEntry]
    next_offset: int
    first_available: int
