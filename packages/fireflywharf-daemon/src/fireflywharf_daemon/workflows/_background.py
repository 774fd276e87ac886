"""Background tasks of one owner on the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine

_LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps references to tasks, logs their failures and cancels them together.

    Args:
        owner: name of the owner in log lines.
        on_failure: called after a task has failed.
    """

    def __init__(self, owner: str, on_failure: Callable[[], None] = lambda: None) -> None:
        self._owner = owner
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def _handle_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error(
                "background task failed", extra={"owner": self._owner}, exc_info=task.exception()
            )
            self._on_failure()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
