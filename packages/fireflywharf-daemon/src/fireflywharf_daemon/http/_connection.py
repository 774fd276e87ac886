"""Cheroot classes with time limits for whole requests and JSON for protocol errors."""

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
# A close with unread input makes the kernel reset the connection, and the caller may lose the
# answer. The input is therefore read and dropped for a bounded time first.
DISCARD_MAX_S = 0.5
DISCARD_MAX_BYTES = 4_194_304
REFUSALS_MAX_WAITING = 256
# While more than half of the threads are busy, a request has this long to arrive, and less when so
# many connections wait that the others would take longer than the second limit altogether.
CROWDED_ARRIVAL_S = 0.25
CROWDED_WAIT_S = 0.5
CROWDED_ARRIVAL_MIN_S = 0.02

_CODES_BY_STATUS = {
    404: ResultCode.UNKNOWN_ROUTE,
    405: ResultCode.UNKNOWN_ROUTE,
    408: ResultCode.BODY_INCOMPLETE,
    413: ResultCode.BODY_TOO_LARGE,
    500: ResultCode.INTERNAL_ERROR,
}


def render(answer: HttpAnswer) -> bytes:
    """Return the bytes of an answer that ends the connection."""
    lines = [f"HTTP/1.1 {answer.status_line}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + answer.body


class SingleLengthHeaders(dict[bytes, bytes]):
    """Headers of a request; a second Content-Length with another value is an error.

    Another server on the way could take the other length and find a second request in the body.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == b"Content-Length" and self.get(name, value) != value:
            raise ValueError("Content-Length is given twice with different values")
        super().__setitem__(name, value)


class JsonRequest(HTTPRequest):
    """Request whose protocol errors are answered in the format of all other answers."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.inheaders = SingleLengthHeaders()

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Answer an error that cheroot found and end the connection.

        Args:
            status: HTTP status with its reason.
            msg: description of the error.
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
            self.conn.wfile.write(render(error_answer(CallerError(code, detail))))

    def send_headers(self) -> None:
        """Send the headers of the answer, with a new time limit for writing."""
        wants_close = any(
            name.lower() == b"connection" and value.lower() == b"close"
            for name, value in self.outheaders
        )
        if wants_close:
            # The application asks for this when it did not read the body.
            self.conn.has_unread_input = True
        if wants_close or self.server.closing:
            self.close_connection = True
        self.conn.start_write()
        super().send_headers()

    def ensure_headers_sent(self) -> None:
        """Send the headers unless the answer is deferred."""
        if self.conn.parked is None:
            super().ensure_headers_sent()


class TimedConnection(HTTPConnection):
    """Connection that gives each request one time limit for arrival and one for the answer."""

    RequestHandlerClass = JsonRequest

    def __init__(self, server: Any, sock: Any, makefile: Any = MakeFile) -> None:
        super().__init__(server, DeadlineSocket.wrap_socket(sock), makefile)
        self.is_new = True
        self.has_unread_input = False
        self.arrival_limit_s = server.body_timeout_s
        self.parked: DeferringGateway | None = None
        self._counted = True
        server.count_connection(1)

    def start_write(self) -> None:
        """Start the time limit for writing an answer."""
        self.socket.write_deadline_s = time.monotonic() + self.server.body_timeout_s

    def communicate(self) -> bool:
        """Read one request and answer it.

        Returns:
            Whether the connection may be used again.
        """
        self.arrival_limit_s = self.server.begin_arrival()
        self.socket.read_deadline_s = time.monotonic() + self.arrival_limit_s
        self.start_write()
        try:
            keep = bool(super().communicate()) and not self.server.closing
            # A parked connection goes to `WsgiServer.put_conn`, even if it ends after its answer.
            return keep or self.parked is not None
        finally:
            self.server.end_arrival()
            if self.parked is None:
                self.server.end_request()

    def close(self) -> None:
        """Close the connection after the caller had time to read the answer."""
        if self.has_unread_input:
            self._discard_input()
        self.drop()

    def drop(self) -> None:
        """Close the connection at once."""
        if self._counted:
            self._counted = False
            self.server.count_connection(-1)
        super().close()

    def _discard_input(self) -> None:
        deadline_s = time.monotonic() + min(DISCARD_MAX_S, self.arrival_limit_s / 4)
        self.socket.read_deadline_s = deadline_s
        dropped = 0
        with contextlib.suppress(OSError, ValueError):
            self.socket.shutdown(socket.SHUT_WR)
            while dropped < DISCARD_MAX_BYTES and (data := self.socket.recv(65_536)):
                dropped += len(data)


class WsgiServer(wsgi.Server):
    """Cheroot server that counts requests and keeps silent connections out of its threads."""

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
        self._parked: set[TimedConnection] = set()
        self._answers = concurrent.futures.ThreadPoolExecutor(threads_count, "http-answer")
        self._changed = threading.Condition()
        self._refused: queue.Queue[TimedConnection | None] = queue.Queue(REFUSALS_MAX_WAITING)
        self._refuser = threading.Thread(target=self._refuse, name="http-refuser", daemon=True)

    def count_connection(self, change: int) -> None:
        """Count open connections."""
        with self._changed:
            self._connections_count += change

    def begin_arrival(self) -> float:
        """Count a thread as busy and return the time in which its request must arrive.

        Pattern: many callers send a part of a request and stop. They may hold half of the threads
        until the time limit for a body; the other half serves whoever sends a whole request.
        """
        threads_count = self.requests.max
        with self._changed:
            self._busy_threads_count += 1
            crowded = 2 * self._busy_threads_count > threads_count
        if not crowded:
            return self.body_timeout_s
        waiting_count = max(1, self.requests.qsize)
        limit_s = CROWDED_WAIT_S * threads_count / 2 / waiting_count
        limit_s = max(CROWDED_ARRIVAL_MIN_S, min(CROWDED_ARRIVAL_S, limit_s))
        return min(self.body_timeout_s, limit_s)

    def end_arrival(self) -> None:
        """Count a thread as free."""
        with self._changed:
            self._busy_threads_count -= 1

    def process_conn(self, conn: TimedConnection) -> None:
        """Give a connection with input to a thread; a new one first waits for input."""
        if conn.is_new:
            conn.is_new = False
            if self._connections_count > self.connections_max:
                self._refuse_later(conn)
            else:
                self.put_conn(conn)
            return
        with self._changed:
            self._requests_count += 1
        try:
            self.requests.put(conn)
        except queue.Full:
            self.end_request()
            self._refuse_later(conn)

    def put_conn(self, conn: TimedConnection) -> None:
        """Take back a connection that waits for its next request or for a deferred answer."""
        if conn.parked is None:
            super().put_conn(conn)
            return
        with self._changed:
            self._parked.add(conn)
        conn.parked.deferred.future.add_done_callback(lambda _: self._submit_answer(conn))

    def _submit_answer(self, conn: TimedConnection) -> None:
        # A done callback must not raise; after the stop there is no one to answer.
        with contextlib.suppress(RuntimeError):
            self._answers.submit(self._finish_answer, conn)

    def _finish_answer(self, conn: TimedConnection) -> None:
        with self._changed:
            if conn not in self._parked:
                return
            self._parked.remove(conn)
        keep = False
        try:
            keep = conn.parked.finish() and not self.closing
        except OSError as error:
            _logger.info("caller left before its answer: %s", error)
        except Exception:
            _logger.exception("deferred answer could not be written")
        finally:
            self.end_request()
            if keep:
                self.put_conn(conn)
            else:
                conn.close()

    def _refuse_later(self, conn: TimedConnection) -> None:
        try:
            self._refused.put_nowait(conn)
        except queue.Full:
            conn.drop()

    def end_request(self) -> None:
        """Note that a request was answered or dropped."""
        with self._changed:
            self._requests_count -= 1
            self._changed.notify_all()

    def wait_idle(self, deadline_s: float) -> bool:
        """Wait until no request is in progress or queued.

        Args:
            deadline_s: time of the monotonic clock.

        Returns:
            Whether there is none.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._requests_count == 0, max(0.0, deadline_s - time.monotonic())
            )

    def stop_accepting(self) -> None:
        """Take the connections that wait for acceptance and close the listening socket."""
        self.closing = True
        # Cheroot has no public way to stop accepting without cutting requests in progress.
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.settimeout(0)
        for _ in range(self.request_queue_size):
            conn = self._connections._from_server_socket(self.socket)
            if conn is None:
                break
            self.process_conn(conn)
        self.socket.close()

    def prepare(self) -> None:
        """Bind the socket and start the threads."""
        super().prepare()
        self._refuser.start()

    def stop(self) -> None:
        """Stop all threads and close all connections."""
        self.closing = True
        super().stop()
        with self._changed:
            parked, self._parked = self._parked, set()
        for conn in parked:
            conn.drop()
        self._answers.shutdown(wait=True, cancel_futures=True)
        if self._refuser.is_alive():
            self._refused.put(None)
            self._refuser.join()

    def _refuse(self) -> None:
        error = CallerError(
            ResultCode.QUEUE_FULL, "too many connections wait for this entry VM", retry_after_s=1.0
        )
        content = render(error_answer(error))
        while (conn := self._refused.get()) is not None:
            with contextlib.suppress(OSError, errors.FatalSSLAlert):
                conn.start_write()
                conn.has_unread_input = True
                conn.wfile.write(content)
            conn.close()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Write a message of cheroot to the log.

        Args:
            msg: message.
            level: level of the message.
            traceback: whether to add the present exception.
        """
        _logger.log(level, "HTTP server: %s", msg, exc_info=traceback)
