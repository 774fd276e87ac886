"""Deferred answers, which occupy no thread until they are ready."""

from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import Any

from cheroot.wsgi import Gateway_10


class DeferredAnswer:
    """Body of a WSGI answer that is not ready yet.

    `DeferringGateway` handles it without blocking. Other WSGI servers iterate over it and block.

    Args:
        future: future of the service's answer.
        finish: calls `start_response` and returns the body; called when the future is done.
    """

    def __init__(self, future: "Future[Any]", finish: Callable[["Future[Any]"], bytes]) -> None:
        self.future = future
        self.finish = finish

    def __iter__(self) -> Iterator[bytes]:
        """Block until the answer is ready and yield the body."""
        yield self.finish(self.future)


class DeferringGateway(Gateway_10):
    """WSGI gateway that frees the thread of a connection while its answer is deferred.

    Attributes:
        deferred: answer to write later; None if the answer was not deferred.
    """

    deferred: DeferredAnswer | None = None

    def respond(self) -> None:
        """Call the application and write its answer, or leave a deferred answer for later."""
        answer = self.req.server.wsgi_app(self.env, self.start_response)
        if isinstance(answer, DeferredAnswer):
            self.deferred = answer
            self.req.conn.deferred_gateway = self
            return
        self._write_all(answer)

    def write_deferred(self) -> bool:
        """Write the deferred answer.

        Returns:
            Whether the connection stays open.
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
