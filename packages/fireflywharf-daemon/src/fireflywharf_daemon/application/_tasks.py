"""Supervision of background coroutines."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

_LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Background tasks of one component; unexpected errors of the tasks are logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task that runs until it ends or `close` cancels it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_end)
        return task

    def run_every(self, interval_s: float, step: Callable[[], Awaitable[None] | None]) -> None:
        """Call a function periodically.

        Args:
            interval_s: pause between the end of a call and the start of the next, in seconds.
            step: function to call; an awaitable result is awaited.
        """
        self.spawn(self._run_periodically(interval_s, step))

    async def _run_periodically(
        self, interval_s: float, step: Callable[[], Awaitable[None] | None]
    ) -> None:
        while True:
            try:
                result = step()
                if result is not None:
                    await result
            except asyncio.CancelledError:
                raise
            except Exception:
                # One failed step must not end a loop that renews leases or reads the log.
                _LOG.exception("periodic step failed; will be repeated")
            await asyncio.sleep(interval_s)

    def _on_task_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("background task failed", exc_info=task.exception())

    async def drain(self) -> None:
        """Wait for the tasks that are running at the time of the call."""
        await asyncio.gather(*list(self._tasks), return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
