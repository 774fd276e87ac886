"""Discrete-event simulator with one event loop per process, without sockets or threads."""

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable
from typing import Any


class _NullSelector:
    """Replaces the selector, because the event loop has no sockets."""

    def select(self, _timeout_s: float | None) -> list[Any]:
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop of one process; the simulator runs it when a callback is due.

    Args:
        simulator: source of the virtual time.
        on_error: called with the text of an error that no task handled.
    """

    def __init__(self, simulator: "Simulator", on_error: Callable[[str], None]) -> None:
        super().__init__()
        self.simulator = simulator
        self.on_error = on_error
        self.paused = False
        self._selector = _NullSelector()

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.simulator.now_s

    def next_callback_s(self) -> float:
        """Return the time of the next callback in seconds; infinity when there is none."""
        if self.paused or self.is_closed():
            return math.inf
        if self._ready:
            return self.simulator.now_s
        while self._scheduled and self._scheduled[0].cancelled():
            # Same bookkeeping as in `BaseEventLoop._run_once` for cancelled timers at the front.
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        return self._scheduled[0].when() if self._scheduled else math.inf

    def run_due_callbacks(self) -> None:
        """Run all callbacks that are due now, also those that become ready meanwhile."""
        asyncio.events._set_running_loop(self)
        try:
            self._run_once()
            while self._ready and not self.paused:
                self._run_once()
        finally:
            asyncio.events._set_running_loop(None)

    def cancel_and_close(self) -> None:
        """Cancel all tasks and close the loop, as if the process was killed; errors are dropped."""
        self.paused = False
        self.on_error = lambda _: None
        for _ in range(50):
            tasks = [task for task in asyncio.all_tasks(self) if not task.done()]
            if not tasks:
                break
            for task in tasks:
                task.cancel()
            for _ in range(3):
                self.run_due_callbacks()
        self.run_due_callbacks()
        self.close()

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Report an error that no task handled to `on_error`."""
        self.on_error(f"{context.get('message')}: {context.get('exception')!r}")

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing, because there are no sockets."""

    def _write_to_self(self) -> None:
        """Do nothing, because the simulator asks for the next callback itself."""


class Simulator:
    """Advances the virtual clock and runs events and the event loops of the processes.

    Attributes:
        now_s: virtual time in seconds.
        loops: event loops of the running processes; the first one runs first at equal times.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.loops: list[VirtualLoop] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual time in seconds; replaces `time.monotonic`."""
        return self.now_s

    def time(self) -> float:
        """Return the virtual time in seconds since the epoch of Unix; replaces `time.time`."""
        return 1_700_000_000.0 + self.now_s

    def schedule_at(self, time_s: float, function: Callable[[], None]) -> None:
        """Schedule a function for a time in seconds, or for now if that has passed."""
        heapq.heappush(self._events, (max(time_s, self.now_s), next(self._numbers), function))

    def schedule_after(self, delay_s: float, function: Callable[[], None]) -> None:
        """Schedule a function after a delay in seconds."""
        self.schedule_at(self.now_s + delay_s, function)

    def run_until(self, end_s: float) -> None:
        """Run all events and callbacks that are due up to a time; then set the clock to it."""
        while True:
            event_s = self._events[0][0] if self._events else math.inf
            loop_s, loop = math.inf, None
            for candidate in self.loops:
                next_callback_s = candidate.next_callback_s()
                if next_callback_s < loop_s:
                    loop_s, loop = next_callback_s, candidate
            due_s = min(event_s, loop_s)
            if due_s > end_s:
                self.now_s = end_s
                return
            self.now_s = max(self.now_s, due_s)
            if event_s <= loop_s:
                heapq.heappop(self._events)[2]()
            else:
                loop.run_due_callbacks()
