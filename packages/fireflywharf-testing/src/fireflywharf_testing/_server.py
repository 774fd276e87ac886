"""HTTP server of a stand-in, which injects faults into connections and answers."""

import json
import logging
import threading
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from cheroot import server as cheroot_server

from ._faults import NO_FAULTS, CallFaults, FaultSampler, FaultSettings, parse_faults
from ._ports import reserve_port

FAULTS_PATH = "/v1/faults"
_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}
_logger = logging.getLogger(__name__)


@attrs.frozen(slots=True)
class Call:
    """One HTTP request to a stand-in; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    faults: CallFaults = CallFaults()

    def json(self) -> Any:
        """Return the decoded body, or None when it is not valid JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@attrs.frozen(slots=True)
class Answer:
    """HTTP answer of a stand-in."""

    status: int = 200
    body: bytes = b"{}"
    headers: dict[str, str] = attrs.field(factory=dict)


def json_answer(value: Any, status: int = 200) -> Answer:
    """Return an HTTP answer with `value` encoded as JSON."""
    return Answer(status, msgspec.json.encode(value), {"Content-Type": "application/json"})


class _Connection(cheroot_server.HTTPConnection):
    """Connection that stays open while `left_unanswered` is set, although cheroot closes it."""

    def __init__(self, server: Any, sock: Any, makefile: Any = cheroot_server.MakeFile) -> None:
        super().__init__(server, sock, makefile)
        self.opened_s = time.monotonic()
        self.left_unanswered = False

    def close(self) -> None:
        """Close the connection unless it is left open without an answer."""
        if not self.left_unanswered:
            super().close()


class _HttpServer(cheroot_server.HTTPServer):
    """Cheroot server that passes calls to its `stand_in`."""

    ConnectionClass = _Connection
    timeout = 60
    shutdown_timeout = 2
    expiration_interval = 0.25
    request_queue_size = 256
    stand_in: "StandInServer"

    def process_conn(self, conn: _Connection) -> None:
        """Wait for data on a new connection in the selector instead of in a thread.

        A client that connects and sends nothing would otherwise occupy one of the few threads.
        """
        if conn.last_used is None:
            self.put_conn(conn)
        else:
            super().process_conn(conn)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Write errors of the server to the logger of this module."""
        _logger.log(level, "%s", msg, exc_info=traceback)


class _Gateway(cheroot_server.Gateway):
    """Reads one request and passes it to the stand-in, which writes the answer."""

    def respond(self) -> None:
        """Pass the current request to the stand-in."""
        request = self.req
        request.sent_headers = True
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }
        query = urllib.parse.parse_qs((request.qs or b"").decode("latin-1"))
        call = Call(
            method=request.method.decode("latin-1"),
            path=request.path.decode("latin-1"),
            query={name: values[-1] for name, values in query.items()},
            headers=headers,
            body=request.rfile.read(),
        )
        request.server.stand_in.serve_call(request, call)


class StandInServer:
    """Serves one stand-in on one port and injects faults; see `FaultSettings`.

    Args:
        name: name of the VM or service.
        handler: returns the answer to a call; called from several threads.
        threads_count: number of threads that handle calls.
        connections_count: limit on idle keep-alive connections; None for no limit.
        host: IP address to listen on.
        port: port to listen on; 0 to reserve a free one at the start.
    """

    def __init__(
        self,
        name: str,
        handler: Callable[[Call], Answer],
        threads_count: int = 3,
        connections_count: int | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.name = name
        self.handler = handler
        self.threads_count = threads_count
        self.connections_count = connections_count
        self.host = host
        self.port = port
        self._lock = threading.Lock()
        self._lifecycle_lock = threading.RLock()
        self._fault_sampler = FaultSampler()
        self._silent_before_s = 0.0
        self._unanswered_connections: list[_Connection] = []
        self._last_answer: Answer | None = None
        self._refusing = threading.Event()
        self._server: _HttpServer | None = None
        self._thread: threading.Thread | None = None
        self._timer: threading.Timer | None = None

    @property
    def address(self) -> str:
        """Address of the server as `ip:port`."""
        return f"{self.host}:{self.port}"

    @property
    def faults(self) -> FaultSettings:
        """Fault settings in force."""
        return self._fault_sampler.settings

    def start(self) -> None:
        """Start to listen and serve; a server that already runs accepts calls again."""
        with self._lifecycle_lock:
            self._refusing.clear()
            if self._server is not None:
                return
            self.port = self.port or reserve_port(self.host)
            server = _HttpServer(
                (self.host, self.port),
                _Gateway,
                minthreads=self.threads_count,
                maxthreads=self.threads_count,
            )
            server.keep_alive_conn_limit = self.connections_count
            server.stand_in = self
            server.prepare()
            self._server = server
            self._thread = threading.Thread(target=server.serve, name=self.name, daemon=True)
            self._thread.start()

    def refuse(self) -> None:
        """Close the connection of every call without handling it, until `start`."""
        self._refusing.set()

    def stop(self) -> None:
        """Close the listening socket and all connections, also those left unanswered."""
        self.refuse()
        with self._lifecycle_lock:
            self._cancel_timer()
            if self._server is not None and self._thread is not None:
                self._server.stop()
                self._thread.join()
                self._server = None
            with self._lock:
                left_unanswered, self._unanswered_connections = self._unanswered_connections, []
            for connection in left_unanswered:
                connection.left_unanswered = False
                connection.close()

    def set_faults(self, settings: FaultSettings) -> None:
        """Replace the faults of this stand-in; faults with a duration end by a timer."""
        with self._lifecycle_lock:
            self._cancel_timer()
            with self._lock:
                self._fault_sampler = FaultSampler(settings)
                if settings.silent:
                    self._silent_before_s = time.monotonic()
            if settings.down == "refuse":
                self.stop()
            else:
                self.start()
            if settings.duration_s > 0:
                self._timer = threading.Timer(settings.duration_s, self.set_faults, [NO_FAULTS])
                self._timer.daemon = True
                self._timer.start()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def serve_call(self, request: Any, call: Call) -> None:
        """Answer one call, with the faults drawn for it; runs in a thread of the HTTP server."""
        if call.path == FAULTS_PATH and call.method == "POST":
            self._write_answer(request, self._handle_fault_change(call))
            return
        with self._lock:
            faults = self._fault_sampler.sample_call_faults(call.path)
        if self._drop_call(request):
            return
        if faults.slow_s and self._refusing.wait(faults.slow_s):
            request.close_connection = True
            return
        if faults.error:
            answer = json_answer({"detail": f"{self.name} is down"}, 503)
        else:
            answer = self._call_handler(attrs.evolve(call, faults=faults))
        if self._drop_call(request):
            return
        if faults.lose_answer:
            request.close_connection = True
            return
        answer = self._apply_answer_faults(answer, faults)
        if faults.cut_answer:
            request.close_connection = True
        self._write_answer(request, answer, cut=faults.cut_answer)

    def _apply_answer_faults(self, answer: Answer, faults: CallFaults) -> Answer:
        """Return the earlier answer or a corrupted one if `faults` say so."""
        with self._lock:
            earlier, self._last_answer = self._last_answer, answer
        if faults.cross_answer and earlier is not None:
            answer = earlier
        if faults.corrupt_answer and answer.body:
            middle = len(answer.body) // 2
            changed = bytes([answer.body[middle] ^ 1])
            body = answer.body[:middle] + changed + answer.body[middle + 1 :]
            answer = attrs.evolve(answer, body=body)
        return answer

    def _call_handler(self, call: Call) -> Answer:
        try:
            return self.handler(call)
        except Exception as error:
            _logger.exception("stand-in %s failed on %s", self.name, call.path)
            return json_answer({"detail": f"error of the stand-in: {error!r}"}, 500)

    def _handle_fault_change(self, call: Call) -> Answer:
        settings, problems = parse_faults(call.json())
        if settings is None:
            return json_answer({"problems": [str(problem) for problem in problems]}, 400)
        threading.Thread(target=self.set_faults, args=[settings], daemon=True).start()
        return json_answer(settings)

    def _drop_call(self, request: Any) -> bool:
        """Leave a call unanswered if the server is stopping, hangs or silences its connection.

        Returns:
            Whether the call must not be handled or answered. Its connection is closed when the
            server is stopping and kept open otherwise.
        """
        if self._refusing.is_set():
            request.close_connection = True
            return True
        silent = request.conn.opened_s < self._silent_before_s
        if not silent and self.faults.down != "hang":
            return False
        request.conn.left_unanswered = True
        request.close_connection = True
        with self._lock:
            self._unanswered_connections.append(request.conn)
        return True

    def _write_answer(self, request: Any, answer: Answer, cut: bool = False) -> None:
        reason = _REASONS.get(answer.status, "Status")
        lines = [f"HTTP/1.1 {answer.status} {reason}", f"Content-Length: {len(answer.body)}"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        if request.close_connection:
            lines.append("Connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        body = answer.body[: len(answer.body) // 2] if cut else answer.body
        request.conn.wfile.write(head + body)
