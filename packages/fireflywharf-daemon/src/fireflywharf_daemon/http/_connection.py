"""Cheroot classes with time limits per request and JSON answers to protocol errors."""

import concurrent.futures
import contextlib
import logging
import queue
import socket
import threading
import time
from typing import Any

from cheroot import errors, wsgi
from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPRequest

from fireflywharf_core.results import ResultCode

from ..sockets import DeadlineSocket
from ._answers import HttpAnswer, error_answer
from ._deferred import DeferringGateway
from ._service import CallerError

_logger = logging.getLogger(__name__)

HEADERS_MAX_BYTES = 16_384
IDLE_CONNECTION_S = 60.0
# If a socket is closed with unread input, the kernel resets the connection and the caller may lose
# the answer. Before a close, input is therefore read and discarded within these limits.
DISCARD_MAX_S = 0.5
DISCARD_MAX_BYTES = 4_194_304
REFUSAL_QUEUE_MAX_CONNECTIONS = 256
# While more than half of the threads are busy, a request must arrive within the first limit, or
# sooner if the queued connections would otherwise wait longer than the second limit.
BUSY_READ_TIMEOUT_S = 0.25
BUSY_QUEUE_WAIT_S = 0.5
BUSY_READ_TIMEOUT_MIN_S = 0.02

_CODES_BY_STATUS = {
    404: ResultCode.UNKNOWN_ROUTE,
    405: ResultCode.UNKNOWN_ROUTE,
    408: ResultCode.BODY_INCOMPLETE,
    413: ResultCode.BODY_TOO_LARGE,
    500: ResultCode.INTERNAL_ERROR,
}


def serialize_closing_answer(answer: HttpAnswer) -> bytes:
    """Return the bytes of an HTTP response after which the connection is closed."""
    lines = [f"HTTP/1.1 {answer.status_line}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + answer.body


class SingleLengthHeaders(dict[bytes, bytes]):
    """Request headers that reject a second Content-Length with a different value.

    Otherwise a proxy that uses the other length could see a second request in the body (request
    smuggling).
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == b"Content-Length" and self.get(name, value) != value:
            raise ValueError("Content-Length is given more than once with different values")
        super().__setitem__(name, value)


class JsonRequest(HTTPRequest):
    """Request whose protocol errors are answered with the same JSON fields as all other errors."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.inheaders = SingleLengthHeaders()

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Send an error that cheroot detected, and close the connection.

        Args:
            status: HTTP status with its reason phrase.
            msg: description of the error, or empty.
        """
        number = int(str(status)[:3])
        code = _CODES_BY_STATUS.get(number, ResultCode.INVALID_FIELD)
        detail = msg or {
            408: "the request did not arrive within the time limit",
            500: "unexpected error; see the log of the daemon",
        }.get(number, f"the HTTP request is not valid: {status}")
        self.close_connection = True
        self.sent_headers = True
        self.conn.has_unread_input = True
        self.conn.start_write()
        with contextlib.suppress(OSError):
            self.conn.wfile.write(serialize_closing_answer(error_answer(CallerError(code, detail))))

    def send_headers(self) -> None:
        """Restart the time limit for writing and send the headers of the answer."""
        wants_close = any(
            name.lower() == b"connection" and value.lower() == b"close"
            for name, value in self.outheaders
        )
        if wants_close:
            # The application sets this header if it did not read the body.
            self.conn.has_unread_input = True
        if wants_close or self.server.closing:
            self.close_connection = True
        self.conn.start_write()
        super().send_headers()

    def ensure_headers_sent(self) -> None:
        """Send the headers unless the answer is deferred."""
        if self.conn.deferred_gateway is None:
            super().ensure_headers_sent()


class TimedConnection(HTTPConnection):
    """Connection with time limits for reading a request and for writing its answer."""

    RequestHandlerClass = JsonRequest

    def __init__(self, server: Any, sock: Any, makefile: Any = MakeFile) -> None:
        super().__init__(server, DeadlineSocket.wrap_socket(sock), makefile)
        self.is_new = True
        self.has_unread_input = False
        self.read_timeout_s = server.body_timeout_s
        self.deferred_gateway: DeferringGateway | None = None
        self._is_counted = True
        server.add_to_connections_count(1)

    def start_write(self) -> None:
        """Start or restart the time limit for writing an answer."""
        self.socket.write_deadline_s = time.monotonic() + self.server.body_timeout_s

    def communicate(self) -> bool:
        """Read a request, and answer it or defer its answer.

        Returns:
            Whether the connection stays open.
        """
        self.read_timeout_s = self.server.mark_thread_busy()
        self.socket.read_deadline_s = time.monotonic() + self.read_timeout_s
        self.start_write()
        try:
            keep_open = bool(super().communicate()) and not self.server.closing
            # With a deferred answer the connection must go to `WsgiServer.put_conn`, even if it is
            # closed after the answer.
            return keep_open or self.deferred_gateway is not None
        finally:
            self.server.mark_thread_free()
            if self.deferred_gateway is None:
                self.server.end_request()

    def close(self) -> None:
        """Close the connection; unread input is discarded first, so that the answer arrives."""
        if self.has_unread_input:
            self._discard_input()
        self.close_immediately()

    def close_immediately(self) -> None:
        """Close the connection without discarding unread input."""
        if self._is_counted:
            self._is_counted = False
            self.server.add_to_connections_count(-1)
        super().close()

    def _discard_input(self) -> None:
        deadline_s = time.monotonic() + min(DISCARD_MAX_S, self.read_timeout_s / 4)
        self.socket.read_deadline_s = deadline_s
        dropped = 0
        with contextlib.suppress(OSError, ValueError):
            self.socket.shutdown(socket.SHUT_WR)
            while dropped < DISCARD_MAX_BYTES and (data := self.socket.recv(65_536)):
                dropped += len(data)


class WsgiServer(wsgi.Server):
    """Cheroot server with limits for connections and request reads, and deferred answers.

    A connection occupies a thread only while it has input or an answer to write.
    """

    ConnectionClass = TimedConnection
    max_request_header_size = HEADERS_MAX_BYTES
    expiration_interval = 0.25

    def __init__(
        self,
        bind_addr: tuple[str, int],
        application: Any,
        threads_count: int,
        waiting_max: int,
        connections_max: int,
    ) -> None:
        super().__init__(
            bind_addr,
            application,
            numthreads=threads_count,
            max=threads_count,
            server_name="fireflywharf",
            request_queue_size=1024,
            timeout=IDLE_CONNECTION_S,
            accepted_queue_size=waiting_max,
            accepted_queue_timeout=0,
        )
        self.gateway = DeferringGateway
        self.keep_alive_conn_limit = connections_max
        self.connections_max = connections_max
        self.body_timeout_s = 10.0
        self.closing = False
        self._requests_count = 0
        self._busy_threads_count = 0
        self._connections_count = 0
        self._deferred_connections: set[TimedConnection] = set()
        self._answer_pool = concurrent.futures.ThreadPoolExecutor(threads_count, "http-answer")
        self._changed = threading.Condition()
        self._refusal_queue: queue.Queue[TimedConnection | None] = queue.Queue(
            REFUSAL_QUEUE_MAX_CONNECTIONS
        )
        self._refuser_thread = threading.Thread(
            target=self._run_refuser, name="http-refuser", daemon=True
        )

    def add_to_connections_count(self, change: int) -> None:
        """Add `change` to the number of open connections."""
        with self._changed:
            self._connections_count += change

    def mark_thread_busy(self) -> float:
        """Count a thread as busy and return the time limit for reading its request, in seconds.

        Protects against many callers that send only part of a request and stop. They can occupy
        half of the threads until the regular time limit; the other threads serve the callers that
        send whole requests.
        """
        threads_count = self.requests.max
        with self._changed:
            self._busy_threads_count += 1
            is_busy = 2 * self._busy_threads_count > threads_count
        if not is_busy:
            return self.body_timeout_s
        waiting_count = max(1, self.requests.qsize)
        limit_s = BUSY_QUEUE_WAIT_S * threads_count / 2 / waiting_count
        limit_s = max(BUSY_READ_TIMEOUT_MIN_S, min(BUSY_READ_TIMEOUT_S, limit_s))
        return min(self.body_timeout_s, limit_s)

    def mark_thread_free(self) -> None:
        """Count a thread as no longer busy."""
        with self._changed:
            self._busy_threads_count -= 1

    def process_conn(self, conn: TimedConnection) -> None:
        """Queue a connection with input for a thread; a new connection first waits for input."""
        if conn.is_new:
            conn.is_new = False
            if self._connections_count > self.connections_max:
                self._enqueue_refusal(conn)
            else:
                self.put_conn(conn)
            return
        with self._changed:
            self._requests_count += 1
        try:
            self.requests.put(conn)
        except queue.Full:
            self.end_request()
            self._enqueue_refusal(conn)

    def put_conn(self, conn: TimedConnection) -> None:
        """Keep a connection until its next request arrives or its deferred answer is ready."""
        if conn.deferred_gateway is None:
            super().put_conn(conn)
            return
        with self._changed:
            self._deferred_connections.add(conn)
        conn.deferred_gateway.deferred.future.add_done_callback(
            lambda _: self._submit_deferred_answer(conn)
        )

    def _submit_deferred_answer(self, conn: TimedConnection) -> None:
        # A done callback must not raise. After the stop the pool refuses the call, and the
        # connection is already closed.
        with contextlib.suppress(RuntimeError):
            self._answer_pool.submit(self._write_deferred_answer, conn)

    def _write_deferred_answer(self, conn: TimedConnection) -> None:
        with self._changed:
            if conn not in self._deferred_connections:
                return
            self._deferred_connections.remove(conn)
        keep_open = False
        try:
            keep_open = conn.deferred_gateway.write_deferred() and not self.closing
        except OSError as error:
            _logger.info("deferred answer not sent: caller closed the connection: %s", error)
        except Exception:
            _logger.exception("deferred answer not sent: unexpected error")
        finally:
            self.end_request()
            if keep_open:
                self.put_conn(conn)
            else:
                conn.close()

    def _enqueue_refusal(self, conn: TimedConnection) -> None:
        try:
            self._refusal_queue.put_nowait(conn)
        except queue.Full:
            conn.close_immediately()

    def end_request(self) -> None:
        """Count a request as answered or dropped."""
        with self._changed:
            self._requests_count -= 1
            self._changed.notify_all()

    def wait_idle(self, deadline_s: float) -> bool:
        """Wait until no request is in progress or queued.

        Args:
            deadline_s: monotonic time at which the wait ends.

        Returns:
            Whether all requests have ended.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._requests_count == 0, max(0.0, deadline_s - time.monotonic())
            )

    def stop_accepting(self) -> None:
        """Accept the connections in the backlog of the listening socket and close the socket."""
        self.closing = True
        # Cheroot has no public method that stops accepting without aborting requests in progress.
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.settimeout(0)
        for _ in range(self.request_queue_size):
            conn = self._connections._from_server_socket(self.socket)
            if conn is None:
                break
            self.process_conn(conn)
        self.socket.close()

    def prepare(self) -> None:
        """Bind the listening socket and start the threads."""
        super().prepare()
        self._refuser_thread.start()

    def stop(self) -> None:
        """Stop all threads and close all connections."""
        self.closing = True
        super().stop()
        with self._changed:
            remaining_connections, self._deferred_connections = self._deferred_connections, set()
        for conn in remaining_connections:
            conn.close_immediately()
        self._answer_pool.shutdown(wait=True, cancel_futures=True)
        if self._refuser_thread.is_alive():
            self._refusal_queue.put(None)
            self._refuser_thread.join()

    def _run_refuser(self) -> None:
        error = CallerError(
            ResultCode.QUEUE_FULL,
            "too many connections to this entry VM are open or waiting",
            retry_after_s=1.0,
        )
        content = serialize_closing_answer(error_answer(error))
        while (conn := self._refusal_queue.get()) is not None:
            with contextlib.suppress(OSError, errors.FatalSSLAlert):
                conn.start_write()
                conn.has_unread_input = True
                conn.wfile.write(content)
            conn.close()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Write a message of cheroot to the log of the daemon.

        Args:
            msg: message.
            level: logging level.
            traceback: whether to add the traceback of the current exception.
        """
        _logger.log(level, "HTTP server: %s", msg, exc_info=traceback)
