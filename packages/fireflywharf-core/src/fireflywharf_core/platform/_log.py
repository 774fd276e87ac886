"""Data of the platform log.

HTTP endpoints: `POST /v1/streams/{stream}/append` with the JSON body `{"writer", "sequence",
"records_base64"}` returns an `AppendAnswer`; `GET /v1/streams/{stream}/records?offset=&limit=`
returns a `ReadAnswer`.
"""

import attrs


@attrs.frozen(slots=True)
class LogEntry:
    """One record of a stream.

    Args:
        offset: position in the stream.
        writer: incarnation that appended the record.
        sequence: sequence number of the append, per writer and stream.
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
    """Response to an append: the offset of its first record."""

    first_offset: int


@attrs.frozen(slots=True)
class ReadAnswer:
    """Response to a read.

    Args:
        entries: records in order, starting at the requested offset or, if later, `first_available`.
        next_offset: offset for the next read.
        first_available: lowest offset that the log retains.
    """

    entries: list[LogEntry]
    next_offset: int
    first_available: int
