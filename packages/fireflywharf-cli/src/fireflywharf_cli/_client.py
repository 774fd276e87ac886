"""HTTP client for the daemon, which sends each request at most once."""

import ipaddress
import json
from typing import Any
from urllib.parse import quote, urlencode

import urllib3

from fireflywharf_core.results import ResultCode

from ._outcomes import CallOutcome, NotSent, ResponseLost, ResponseReceived

CONNECT_TIMEOUT_S = 3.0
SERVER_FORMAT = (
    "IP:PORT with an IP address and a port of 1 to 65535, or several separated by commas"
)


def parse_server(text: str) -> tuple[str, int] | None:
    """Parse an address such as `10.0.0.1:8080` or `[::1]:8080`.

    Args:
        text: address to parse.

    Returns:
        IP address and port, or None if the text is not a valid address.

    Example:
        >>> parse_server("10.0.0.1:8080")
        ('10.0.0.1', 8080)
    """
    host, separator, port_text = text.strip().rpartition(":")
    try:
        version = ipaddress.ip_address(host.removeprefix("[").removesuffix("]")).version
    except ValueError:
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    if not separator or bracketed != (version == 6):
        return None
    if not (port_text.isascii() and port_text.isdigit() and 1 <= int(port_text) <= 65535):
        return None
    return host, int(port_text)


def build_path(*parts: str, **query: str) -> str:
    """Build a path under `/v1` from URL-quoted parts and the non-empty query fields."""
    path = "/".join(["/v1", *(quote(part, safe="") for part in parts)])
    fields = {name: value for name, value in query.items() if value}
    return f"{path}?{urlencode(fields)}" if fields else path


def decode_response(data: bytes, server: str) -> ResponseReceived | None:
    """Decode a response of the daemon.

    Args:
        data: body of the HTTP response.
        server: address of the server that sent the response.

    Returns:
        The response, or None if the body is not an object with a known `code`.
    """
    try:
        document = json.loads(data)
        code = ResultCode(document["code"])
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    return ResponseReceived(code, document, server) if isinstance(document, dict) else None


class DaemonClient:
    """Calls the first entry VM that accepts a connection.

    The next server is tried only if no connection was established, because only then it is certain
    that nothing was sent. Each call uses a new connection: a pooled connection that the daemon is
    about to close could leave the outcome of a call unknown.

    Args:
        servers: addresses in the order in which they are tried.
        timeout_s: read timeout; the maximum wait for the next part of a response.
    """

    def __init__(self, servers: list[str], timeout_s: float) -> None:
        self.servers = servers
        self.timeout_s = timeout_s

    def read(self, path: str) -> CallOutcome:
        """Send a GET request, which has no effect on the daemon.

        Args:
            path: path with quoted parts.

        Returns:
            The response, or why there is none.

        Raises:
            KeyboardInterrupt: if the operator interrupts the call.
        """
        return self._call("GET", path, None, self.timeout_s)

    def write(
        self, method: str, path: str, body: dict[str, Any], timeout_s: float = 0.0
    ) -> CallOutcome:
        """Send a request that may have an effect.

        Args:
            method: `POST` or `PUT`.
            path: path with quoted parts.
            body: JSON object to send.
            timeout_s: minimum read timeout; used if it is longer than the timeout of the client.

        Returns:
            The response, or whether the request may have been sent.
        """
        data = json.dumps(body, allow_nan=False).encode()
        return self._call(method, path, data, max(timeout_s, self.timeout_s))

    def _call(self, method: str, path: str, data: bytes | None, timeout_s: float) -> CallOutcome:
        reasons = []
        for server in self.servers:
            outcome = self._call_server(server, method, path, data, timeout_s)
            if not isinstance(outcome, NotSent):
                return outcome
            reasons.append(outcome.detail)
        return NotSent("; ".join(reasons))

    def _call_server(
        self, server: str, method: str, path: str, data: bytes | None, timeout_s: float
    ) -> CallOutcome:
        host, port = parse_server(server)
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        headers = {"Connection": "close", "Accept": "application/json"}
        if data is not None:
            headers["Content-Type"] = "application/json"
        pool = urllib3.HTTPConnectionPool(host, port, timeout=timeout, retries=False)
        try:
            response = pool.urlopen(method, path, data, headers, redirect=False)
        except urllib3.exceptions.NewConnectionError as error:
            return NotSent(f"{server} refused the connection ({describe_cause(error)})")
        except urllib3.exceptions.ConnectTimeoutError:
            return NotSent(f"{server} did not accept the connection in time")
        except urllib3.exceptions.ReadTimeoutError:
            return ResponseLost(
                f"{server} accepted the connection but did not answer in {timeout_s:g} s"
            )
        except urllib3.exceptions.HTTPError as error:
            return ResponseLost(f"the connection to {server} failed ({describe_cause(error)})")
        except KeyboardInterrupt:
            if data is None:
                raise
            return ResponseLost(f"interrupted while waiting for the response of {server}")
        finally:
            pool.close()
        answer = decode_response(response.data, server)
        if answer is None:
            return ResponseLost(
                f"{server} answered HTTP status {response.status} without a known result code"
            )
        return answer


def describe_cause(error: BaseException) -> str:
    """Return a short description of the root cause of an error."""
    while error.__cause__ is not None:
        error = error.__cause__
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return str(error) or type(error).__name__
