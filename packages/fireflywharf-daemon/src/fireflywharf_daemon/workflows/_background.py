"""Background tasks of one owner on the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import TypeVar

_LOG = logging.getLogger(__name__)

LOOP_RESTART_S = 0.5
"""Pause before a failed loop is restarted."""

_Result = TypeVar("_Result")


async def result_or_default(
    call: Awaitable[_Result], default: _Result, service: str, **subject: str
) -> _Result:
    """Return the result of a call to an external service, or `default` if the call raises.

    The clients return expected failures as values. An exception shows an answer that a client
    cannot process, which must not end the caller, because the caller also serves others.

    Args:
        call: the call.
        default: result that makes no claim about the effect of the call.
        service: name of the service in the log line.
        **subject: further log fields that identify the request.
    """
    try:
        return await call
    except Exception:
        _LOG.exception("call failed unexpectedly", extra={"service": service, **subject})
        return default


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
        self._closed = False

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a coroutine as a task; after `close`, the task is cancelled before it runs."""
        task = asyncio.get_running_loop().create_task(coroutine)
        if self._closed:
            task.cancel()
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def spawn_loop(self, function: Callable[[], Coroutine]) -> asyncio.Task:
        """Start a loop as a task and restart it whenever it fails."""
        return self.spawn(self._run_loop(function))

    async def _run_loop(self, function: Callable[[], Coroutine]) -> None:
        while True:
            try:
                await function()
                return
            except Exception:
                _LOG.exception(
                    "background loop failed; restarting it",
                    extra={"owner": self._owner, "loop": function.__qualname__},
                )
            await asyncio.sleep(LOOP_RESTART_S)

    def _handle_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error(
                "background task failed", extra={"owner": self._owner}, exc_info=task.exception()
            )
            self._on_failure()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self._closed = True
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
