"""Supervision of background coroutines."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

_LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Background tasks of one component; an unexpected error is logged and never silent."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine and keep it until it ends or the group closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_end)
        return task

    def run_every(self, interval_s: float, step: Callable[[], Awaitable[None] | None]) -> None:
        """Call `step` again and again, `interval_s` after the previous call ended."""
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
                # One failed round must not end the loop that renews leases or reads the log.
                _LOG.exception("periodic step failed; trying again")
            await asyncio.sleep(interval_s)

    def _on_task_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("background task failed", exc_info=task.exception())

    async def drain(self) -> None:
        """Wait for the tasks that run now."""
        await asyncio.gather(*list(self._tasks), return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
