"""One HTTP exchange on one connection, with exact knowledge of what was sent."""

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

READ_BYTES = 65_536
_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


def _socket_options() -> list[tuple[int, int, int]]:
    options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    ]
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        # Ends a connection over a dead network after 5 s without acknowledgement of sent bytes;
        # the retransmissions of the kernel would go on for a quarter of an hour.
        options.append((socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 5000))
    return options


@attrs.frozen(slots=True, kw_only=True)
class HttpRequest:
    """A request to a platform service.

    Args:
        method: HTTP method.
        path: path with query.
        body: content; None sends none.
        headers: further headers.
        deadline_s: time of the monotonic clock at which the exchange ends.
        read_timeout_s: longest wait for a single read; None for no limit but the deadline.
        answer_max_bytes: largest accepted answer.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = attrs.field(factory=dict)
    deadline_s: float
    read_timeout_s: float | None = None
    answer_max_bytes: int = 67_108_864


@attrs.frozen(slots=True)
class HttpResult:
    """A complete answer.

    Args:
        status: HTTP status.
        headers: headers; names are matched without case.
        body: whole body.
        reusable: whether the connection can carry another request.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes
    reusable: bool


@attrs.define(slots=True)
class OpenConnection:
    """A connection between two exchanges."""

    http: HTTPConnection
    socket: DeadlineSocket
    used_s: float
    is_new: bool = True

    @property
    def usable(self) -> bool:
        """Whether the peer neither closed the connection nor sent anything unasked."""
        return bool(self.http.is_connected)

    def close(self) -> None:
        """Close the connection."""
        self.http.close()
        with contextlib.suppress(OSError):
            self.socket.close()


def open_connection(host: str, port: int, timeout_s: float) -> OpenConnection | RefusedBeforeRun:
    """Connect to a service.

    Args:
        host: IP number.
        port: port.
        timeout_s: time limit.

    Returns:
        The connection, or the refusal; nothing was sent then.
    """
    connection = HTTPConnection(
        host, port, timeout=max(0.001, timeout_s), socket_options=_socket_options()
    )
    try:
        connection.connect()
        adopted = DeadlineSocket.wrap_socket(connection.sock)
    except _ERRORS as error:
        connection.close()
        detail = f"{host}:{port} could not be connected: {error}"
        return RefusedBeforeRun(RefusalReason.CONNECT_FAILED, detail)
    connection.sock = adopted
    return OpenConnection(connection, adopted, time.monotonic())


def _failure_reason(error: Exception) -> FailureReason:
    if isinstance(error, TimeoutError | urllib3.exceptions.TimeoutError):
        return FailureReason.TIMEOUT
    if isinstance(error, urllib3.exceptions.ProtocolError):
        inner = error.args[1] if len(error.args) > 1 else None
        if isinstance(inner, TimeoutError):
            return FailureReason.TIMEOUT
        if isinstance(error, urllib3.exceptions.IncompleteRead) or isinstance(
            inner, http.client.IncompleteRead | urllib3.exceptions.IncompleteRead
        ):
            return FailureReason.TRUNCATED
        return FailureReason.RESET
    if isinstance(error, http.client.IncompleteRead):
        return FailureReason.TRUNCATED
    if isinstance(error, OSError | http.client.RemoteDisconnected):
        return FailureReason.RESET
    return FailureReason.MALFORMED


def _read_answer(connection: OpenConnection, request: HttpRequest) -> HttpResult | Failed:
    response = connection.http.getresponse()
    chunks: list[bytes] = []
    total = 0
    while data := response.read(READ_BYTES):
        total += len(data)
        if total > request.answer_max_bytes:
            detail = f"the answer exceeds {request.answer_max_bytes} bytes"
            return Failed(True, FailureReason.TOO_LARGE, detail, response.status)
        chunks.append(data)
    # http.client drops the socket when the answer ends the connection.
    reusable = connection.http.sock is not None
    response.release_conn()
    return HttpResult(response.status, response.headers, b"".join(chunks), reusable)


def exchange(
    connection: OpenConnection, request: HttpRequest
) -> HttpResult | RefusedBeforeRun | Failed:
    """Send a request and read its whole answer.

    Args:
        connection: connection without a request in progress; it must be closed unless the result
            is reusable.
        request: the request.

    Returns:
        The answer; a refusal if not one byte left this process; otherwise the failure.
    """
    where = f"{connection.http.host}:{connection.http.port}"
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
        return _read_answer(connection, request)
    except _ERRORS as error:
        if sock.bytes_sent == sent_before:
            if isinstance(error, TimeoutError):
                detail = f"no time left to send to {where}"
                return RefusedBeforeRun(RefusalReason.BUDGET_SPENT, detail)
            detail = f"{where} had closed the connection: {error}"
            return RefusedBeforeRun(RefusalReason.CONNECTION_CLOSED, detail)
        reason = _failure_reason(error)
        is_early = time.monotonic() < request.deadline_s
        if reason is FailureReason.TIMEOUT and is_early and request.read_timeout_s is not None:
            reason = FailureReason.SILENT
        elif reason is FailureReason.RESET and sock.bytes_received > received_before:
            reason = FailureReason.TRUNCATED
        return Failed(True, reason, f"{where}: {error}")
