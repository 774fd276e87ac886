"""HTTP exchange on one connection that distinguishes unsent requests from unknown outcomes."""

import contextlib
import http.client
import socket
import time
from collections.abc import Mapping

import attrs
import urllib3
from urllib3.connection import HTTPConnection

from ..sockets import DeadlineSocket
from ._outcomes import Failed, FailureReason, RefusalReason, RefusedBeforeRun

READ_CHUNK_BYTES = 65_536
_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


def _build_socket_options() -> list[tuple[int, int, int]]:
    options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    ]
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        # Milliseconds until the kernel drops a connection whose sent bytes are not acknowledged.
        # By default, the kernel retransmits for about 15 minutes.
        options.append((socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 5000))
    return options


@attrs.frozen(slots=True, kw_only=True)
class HttpRequest:
    """A request to a platform service.

    Args:
        method: HTTP method.
        path: path with query string.
        body: request body; None for a request without a body.
        headers: additional headers.
        deadline_s: monotonic time at which the exchange is aborted.
        read_timeout_s: time limit of a single read; None if only the deadline applies.
        answer_max_bytes: largest accepted response body.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = attrs.field(factory=dict)
    deadline_s: float
    read_timeout_s: float | None = None
    answer_max_bytes: int = 67_108_864


@attrs.frozen(slots=True)
class HttpResponse:
    """A complete response.

    Args:
        status: HTTP status.
        headers: response headers with case-insensitive names.
        body: complete response body.
        reusable: whether the connection can carry another request.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes
    reusable: bool


@attrs.define(slots=True)
class PooledConnection:
    """An open connection without a request in progress.

    Args:
        http: HTTP connection.
        socket: its socket.
        last_used_s: monotonic time of the last exchange, or of the connect.
        is_new: whether the connection has carried no request yet.
    """

    http: HTTPConnection
    socket: DeadlineSocket
    last_used_s: float
    is_new: bool = True

    @property
    def is_usable(self) -> bool:
        """Whether the peer has neither closed the connection nor sent unexpected data."""
        return bool(self.http.is_connected)

    def close(self) -> None:
        """Close the connection."""
        self.http.close()
        with contextlib.suppress(OSError):
            self.socket.close()


def open_connection(host: str, port: int, timeout_s: float) -> PooledConnection | RefusedBeforeRun:
    """Connect to a service.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: time limit of the connection attempt.

    Returns:
        The connection, or a refusal if no connection was established.
    """
    connection = HTTPConnection(
        host, port, timeout=max(0.001, timeout_s), socket_options=_build_socket_options()
    )
    try:
        connection.connect()
        deadline_socket = DeadlineSocket.wrap_socket(connection.sock)
    except _ERRORS as error:
        connection.close()
        detail = f"cannot connect to {host}:{port}: {error}"
        return RefusedBeforeRun(RefusalReason.CONNECT_FAILED, detail)
    connection.sock = deadline_socket
    return PooledConnection(connection, deadline_socket, time.monotonic())


def _classify_error(error: Exception) -> FailureReason:
    if isinstance(error, TimeoutError | urllib3.exceptions.TimeoutError):
        return FailureReason.TIMEOUT
    if isinstance(error, urllib3.exceptions.ProtocolError):
        cause = error.args[1] if len(error.args) > 1 else None
        if isinstance(cause, TimeoutError):
            return FailureReason.TIMEOUT
        if isinstance(error, urllib3.exceptions.IncompleteRead) or isinstance(
            cause, http.client.IncompleteRead | urllib3.exceptions.IncompleteRead
        ):
            return FailureReason.TRUNCATED
        return FailureReason.RESET
    if isinstance(error, http.client.IncompleteRead):
        return FailureReason.TRUNCATED
    if isinstance(error, OSError | http.client.RemoteDisconnected):
        return FailureReason.RESET
    return FailureReason.MALFORMED


def _read_response(connection: PooledConnection, request: HttpRequest) -> HttpResponse | Failed:
    response = connection.http.getresponse()
    chunks: list[bytes] = []
    received_bytes = 0
    while data := response.read(READ_CHUNK_BYTES):
        received_bytes += len(data)
        if received_bytes > request.answer_max_bytes:
            detail = f"the response exceeds {request.answer_max_bytes} bytes"
            return Failed(True, FailureReason.TOO_LARGE, detail, response.status)
        chunks.append(data)
    # http.client detaches the socket if the response closes the connection.
    reusable = connection.http.sock is not None
    response.release_conn()
    return HttpResponse(response.status, response.headers, b"".join(chunks), reusable)


def run_exchange(
    connection: PooledConnection, request: HttpRequest
) -> HttpResponse | RefusedBeforeRun | Failed:
    """Send a request and read its complete response.

    Args:
        connection: connection without a request in progress. The caller must close it unless the
            returned response is `reusable`.
        request: request to send.

    Returns:
        The response; a refusal if no byte of the request was sent; otherwise the failure.
    """
    peer = f"{connection.http.host}:{connection.http.port}"
    sock = connection.socket
    sent_before, received_before = sock.bytes_sent, sock.bytes_received
    sock.write_deadline_s = sock.read_deadline_s = request.deadline_s
    sock.read_timeout_s = request.read_timeout_s
    headers = {"User-Agent": "fireflywharf", **request.headers}
    try:
        connection.http.request(
            request.method,
            request.path,
            request.body,
            headers,
            preload_content=False,
            decode_content=False,
        )
        return _read_response(connection, request)
    except _ERRORS as error:
        if sock.bytes_sent == sent_before:
            if isinstance(error, TimeoutError):
                detail = f"no time left to send the request to {peer}"
                return RefusedBeforeRun(RefusalReason.BUDGET_SPENT, detail)
            detail = f"{peer} closed the connection before the request was sent: {error}"
            return RefusedBeforeRun(RefusalReason.CONNECTION_CLOSED, detail)
        reason = _classify_error(error)
        is_early = time.monotonic() < request.deadline_s
        if reason is FailureReason.TIMEOUT and is_early and request.read_timeout_s is not None:
            reason = FailureReason.SILENT
        elif reason is FailureReason.RESET and sock.bytes_received > received_before:
            reason = FailureReason.TRUNCATED
        return Failed(True, reason, f"{peer}: {error}")
