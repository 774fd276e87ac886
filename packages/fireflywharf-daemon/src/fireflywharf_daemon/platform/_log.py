"""Client of the platform log."""

import base64
import urllib.parse
from collections.abc import Sequence

from fireflywharf_core.platform import AppendAnswer, ReadAnswer

from ._json_calls import call_json
from ._outcomes import PlatformOutcome
from ._pool import PoolSet

READ_MAX_RECORDS = 1000
CONNECTIONS_COUNT = 8


class LogClient:
    """Appends to and reads from streams of the log.

    A failed append with `bytes_sent` may have taken effect; the writer reads back before it
    repeats it.

    Args:
        url: base URL with IP number and port.
        timeout_s: time limit of one call.

    Example:
        >>> client = LogClient("http://127.0.0.1:9")
        >>> client.read("jobs", 0).reason.value
        'connect_failed'
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._pools = PoolSet(CONNECTIONS_COUNT, connect_timeout_s=timeout_s)

    def append(
        self, stream: str, writer: str, sequence: int, payloads: Sequence[bytes]
    ) -> PlatformOutcome[AppendAnswer]:
        """Append records in one atomic call.

        Args:
            stream: name of the stream.
            writer: incarnation of the writer.
            sequence: number of this append; a repeat has the same number.
            payloads: encoded records.

        Returns:
            The offset of the first record, or the refusal or failure.
        """
        data = {
            "writer": writer,
            "sequence": sequence,
            "records_base64": [base64.b64encode(payload).decode("ascii") for payload in payloads],
        }
        return self._call("POST", f"{self._path(stream)}/append", AppendAnswer, data)

    def read(
        self, stream: str, offset: int, limit: int = READ_MAX_RECORDS
    ) -> PlatformOutcome[ReadAnswer]:
        """Read records from an offset on.

        Args:
            stream: name of the stream.
            offset: first offset.
            limit: records at most.

        Returns:
            The records, or the refusal or failure.
        """
        query = urllib.parse.urlencode({"offset": offset, "limit": limit})
        return self._call("GET", f"{self._path(stream)}/records?{query}", ReadAnswer)

    def close(self) -> None:
        """Close all connections."""
        self._pools.close()

    def _path(self, stream: str) -> str:
        prefix = urllib.parse.urlsplit(self.url).path.rstrip("/")
        return f"{prefix}/v1/streams/{urllib.parse.quote(stream, safe='')}"

    def _call(
        self, method: str, path: str, answer_type: type, data: object = None
    ) -> PlatformOutcome:
        pool = self._pools.get(urllib.parse.urlsplit(self.url).netloc)
        return call_json(pool, method, path, answer_type, self.timeout_s, data)
