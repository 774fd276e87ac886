"""Answers that arrive later without a thread waiting for them."""

from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import Any

from cheroot.wsgi import Gateway_10


class DeferredAnswer:
    """Body of a WSGI answer that is not known yet.

    A WSGI server that does not know this class iterates it and waits.

    Args:
        future: receives the answer of the service.
        finish: calls `start_response` and returns the body; called once the future is done.
    """

    def __init__(self, future: "Future[Any]", finish: Callable[["Future[Any]"], bytes]) -> None:
        self.future = future
        self.finish = finish

    def __iter__(self) -> Iterator[bytes]:
        """Wait for the answer and yield its body."""
        yield self.finish(self.future)


class DeferringGateway(Gateway_10):
    """WSGI gateway that leaves the connection parked while an answer is deferred."""

    deferred: DeferredAnswer | None = None

    def respond(self) -> None:
        """Call the application; write its answer, or park the connection."""
        answer = self.req.server.wsgi_app(self.env, self.start_response)
        if isinstance(answer, DeferredAnswer):
            self.deferred = answer
            self.req.conn.deferred_gateway = self
            return
        self._write_all(answer)

    def write_deferred(self) -> bool:
        """Write the answer that was deferred.

        Returns:
            Whether the connection may be used again.
        """
        self.req.conn.deferred_gateway = None
        self._write_all(self.deferred)
        return not self.req.close_connection

    def _write_all(self, answer: Any) -> None:
        try:
            for chunk in filter(None, answer):
                self.write(chunk)
        finally:
            self.req.ensure_headers_sent()
