"""Client for the platform log."""

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
    """Appends records to streams of the log and reads them.

    An append that failed with `bytes_sent` may have taken effect; the writer must read the stream
    before it retries the append.

    Args:
        url: base URL with IP address and port.
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
            sequence: sequence number of this append; a retry uses the same number.
            payloads: encoded records.

        Returns:
            The offset of the first record, the refusal or the failure.
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
        """Read records, starting at an offset.

        Args:
            stream: name of the stream.
            offset: offset of the first record to read.
            limit: maximum number of records.

        Returns:
            The records, the refusal or the failure.
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
        self, method: str, path: str, response_type: type, data: object = None
    ) -> PlatformOutcome:
        pool = self._pools.get(urllib.parse.urlsplit(self.url).netloc)
        return call_json(pool, method, path, response_type, self.timeout_s, data)
