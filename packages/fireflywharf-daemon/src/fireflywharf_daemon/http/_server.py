"""HTTP server: start, graceful stop and settings."""

import concurrent.futures
import logging
import threading
import time
from collections.abc import Callable
from typing import Any

from ..settings import split_address
from ._connection import WsgiServer

_logger = logging.getLogger(__name__)

# Time to write the last answers and close the connections, within the deadline of a graceful stop.
CLOSE_TIMEOUT_S = 1.0
LAST_REQUESTS_WAIT_S = 0.1


class HttpServer:
    """Serves a WSGI application on one address.

    Args:
        application: WSGI application, such as the result of `build_application`.
        listen: address `ip:port`; port 0 selects a free port.
        threads_count: number of requests that are handled concurrently.
        body_timeout_s: time limit for reading a request, and for writing its answer, in seconds.
        waiting_connections_max: largest number of connections with input that wait for a thread;
            further ones are refused with `QUEUE_FULL`.
        connections_max: largest number of open connections, including those with deferred answers;
            further ones are refused with `QUEUE_FULL`.

    Example:
        >>> server = HttpServer(lambda environ, start: [], "127.0.0.1:0", threads_count=1)
        >>> server.start()
        >>> server.stop(deadline_s=1.0)
        True
    """

    def __init__(
        self,
        application: Callable[..., Any],
        listen: str,
        threads_count: int = 64,
        body_timeout_s: float = 10.0,
        waiting_connections_max: int = 1024,
        connections_max: int = 4096,
    ) -> None:
        self.application = application
        self.listen = listen
        self.threads_count = threads_count
        self.body_timeout_s = body_timeout_s
        self.waiting_connections_max = waiting_connections_max
        self.connections_max = connections_max
        self._server: WsgiServer | None = None
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Bound address `ip:port`; before the start, the configured one."""
        if self._server is None:
            return self.listen
        host, port = self._server.bind_addr
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and start serving in background threads.

        Raises:
            OSError: The address cannot be bound.
        """
        server = WsgiServer(
            split_address(self.listen),
            self.application,
            self.threads_count,
            self.waiting_connections_max,
            self.connections_max,
        )
        server.body_timeout_s = self.body_timeout_s
        _run_in_daemon_thread(server.prepare)
        self._server = server
        self._thread = threading.Thread(target=server.serve, name="http-accept", daemon=True)
        self._thread.start()

    def stop(self, deadline_s: float) -> bool:
        """Stop accepting connections, wait for the requests in progress and close the server.

        Args:
            deadline_s: time after which requests in progress are aborted, in seconds.

        Returns:
            Whether every request was answered.
        """
        server, self._server = self._server, None
        if server is None:
            return True
        end_s = time.monotonic() + deadline_s
        server.stop_accepting()
        # Requests that have just arrived on open connections are still accepted.
        time.sleep(min(LAST_REQUESTS_WAIT_S, deadline_s))
        complete = server.wait_idle(end_s)
        if not complete:
            _logger.warning("HTTP requests aborted: shutdown deadline reached")
        server.shutdown_timeout = CLOSE_TIMEOUT_S if complete else 0.1
        closer = threading.Thread(target=server.stop, name="http-close", daemon=True)
        closer.start()
        # Cheroot waits without a time limit for handlers, so the wait for it is limited here.
        closer.join(2 * CLOSE_TIMEOUT_S if complete else CLOSE_TIMEOUT_S)
        return complete


def _run_in_daemon_thread(function: Callable[[], None]) -> None:
    """Run a function in a daemon thread, so that the threads that it starts are daemon threads too.

    Threads inherit this property from the thread that starts them, and Cheroot does not set it.
    Otherwise a handler that never returns would prevent the process from exiting.

    Raises:
        Exception: The exception of the function.
    """
    outcome: concurrent.futures.Future[None] = concurrent.futures.Future()

    def run() -> None:
        try:
            outcome.set_result(function())
        except Exception as error:
            outcome.set_exception(error)

    threading.Thread(target=run, name="http-start", daemon=True).start()
    outcome.result()
