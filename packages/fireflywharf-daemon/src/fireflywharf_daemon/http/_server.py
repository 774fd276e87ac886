"""Life cycle of the HTTP server."""

import concurrent.futures
import logging
import threading
import time
from collections.abc import Callable
from typing import Any

from ..settings import split_address
from ._connection import WsgiServer

_logger = logging.getLogger(__name__)

# Time to send and close after the last request; part of the deadline of a graceful stop.
CLOSE_TIMEOUT_S = 1.0
LAST_REQUESTS_WAIT_S = 0.1


class HttpServer:
    """Serves a WSGI application on one address.

    Args:
        application: WSGI application, such as that of `build_application`.
        listen: `ip:port`; port 0 takes a free port.
        threads_count: requests handled at once.
        body_timeout_s: time in which a request must arrive, and in which its answer must be taken.
        waiting_connections_max: connections with input that wait for a thread; further ones are
            refused with `QUEUE_FULL`.
        connections_max: open connections, those of deferred answers included; further ones are
            refused with `QUEUE_FULL`.

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
        """Return `ip:port` with the real port."""
        if self._server is None:
            return self.listen
        host, port = self._server.bind_addr
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and start to serve.

        Raises:
            OSError: the address cannot be bound.
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
        """Stop accepting, finish requests in progress, and close.

        Args:
            deadline_s: seconds until requests in progress are cut.

        Returns:
            Whether every request got its answer.
        """
        server, self._server = self._server, None
        if server is None:
            return True
        end_s = time.monotonic() + deadline_s
        server.stop_accepting()
        # Requests that have just arrived on open connections are still taken.
        time.sleep(min(LAST_REQUESTS_WAIT_S, deadline_s))
        complete = server.wait_idle(end_s)
        if not complete:
            _logger.warning("HTTP requests were cut at the shutdown deadline")
        server.shutdown_timeout = CLOSE_TIMEOUT_S if complete else 0.1
        closer = threading.Thread(target=server.stop, name="http-close", daemon=True)
        closer.start()
        # Cheroot waits without limit for a handler that does not return.
        closer.join(2 * CLOSE_TIMEOUT_S if complete else CLOSE_TIMEOUT_S)
        return complete


def _run_in_daemon_thread(function: Callable[[], None]) -> None:
    """Run a function that starts threads, so that these end with the process.

    Cheroot starts plain threads, which inherit this property from the thread that starts them. A
    handler that never returns would otherwise keep the process from exiting.
    """
    outcome: concurrent.futures.Future[None] = concurrent.futures.Future()

    def run() -> None:
        try:
            outcome.set_result(function())
        except Exception as error:
            outcome.set_exception(error)

    threading.Thread(target=run, name="http-start", daemon=True).start()
    outcome.result()
