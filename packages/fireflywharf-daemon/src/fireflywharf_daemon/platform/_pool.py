"""Bounded pools of connections, one for each address."""

import threading
import time
from collections.abc import Callable
from typing import Any

from ..settings import split_address
from ._exchange import HttpRequest, HttpResult, OpenConnection, exchange, open_connection
from ._outcomes import Failed, RefusalReason, RefusedBeforeRun

# A request that gets its connection with less time left is not sent: it could not be answered, and
# its outcome would be unknown instead of not run.
SEND_MIN_S = 0.005


class ConnectionPool:
    """Connections to one address.

    Args:
        address: `ip:port`.
        connections_count: open connections at most.
        connect_timeout_s: time limit of a connection attempt.
        idle_max_s: age at which an unused connection is closed. A connection that became silent
            while unused is thereby met rarely.
    """

    def __init__(
        self,
        address: str,
        connections_count: int,
        connect_timeout_s: float,
        idle_max_s: float,
    ) -> None:
        self.address = address
        self.connections_count = connections_count
        self.connect_timeout_s = connect_timeout_s
        self.idle_max_s = idle_max_s
        self._host, self._port = split_address(address)
        self._room = threading.BoundedSemaphore(connections_count)
        self._lock = threading.Lock()
        self._idle: list[OpenConnection] = []
        self._closed = False

    def run(self, request: HttpRequest, check: Callable[[HttpResult], Any] | None = None) -> Any:
        """Run one exchange on a free or new connection.

        Args:
            request: the request.
            check: turns the answer into an outcome. After `Failed` the connection is closed,
                because the next answer on it could belong to this request.

        Returns:
            The outcome of `check`, or without it the answer; a refusal, also when no connection
            was free in time; or the failure.
        """
        remaining_s = request.deadline_s - time.monotonic()
        if remaining_s <= 0:
            detail = f"no time left for {self.address}"
            return RefusedBeforeRun(RefusalReason.BUDGET_SPENT, detail)
        if not self._room.acquire(timeout=remaining_s):
            detail = f"all {self.connections_count} connections to {self.address} are in use"
            return RefusedBeforeRun(RefusalReason.NO_CONNECTION, detail)
        try:
            if request.deadline_s - time.monotonic() < SEND_MIN_S:
                detail = f"no time left for {self.address}"
                return RefusedBeforeRun(RefusalReason.BUDGET_SPENT, detail)
            return self._run_connected(request, check)
        finally:
            self._room.release()

    def close(self) -> None:
        """Close the unused connections; those in use are closed after their exchange."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def close_idle(self, now_s: float) -> None:
        """Close the connections that were not used for `idle_max_s`."""
        with self._lock:
            old = [c for c in self._idle if now_s - c.used_s > self.idle_max_s]
            self._idle = [c for c in self._idle if now_s - c.used_s <= self.idle_max_s]
        for connection in old:
            connection.close()

    def _run_connected(
        self, request: HttpRequest, check: Callable[[HttpResult], Any] | None
    ) -> Any:
        while True:
            connection = self._take_idle()
            if connection is None:
                timeout_s = min(self.connect_timeout_s, request.deadline_s - time.monotonic())
                opened = open_connection(self._host, self._port, timeout_s)
                if isinstance(opened, RefusedBeforeRun):
                    return opened
                connection = opened
            is_new, connection.is_new = connection.is_new, False
            reusable = False
            try:
                outcome = exchange(connection, request)
                # A pooled connection that turned out closed before a byte left is replaced.
                if _was_closed(outcome) and not is_new:
                    continue
                if isinstance(outcome, HttpResult):
                    reusable = outcome.reusable
                    outcome = outcome if check is None else check(outcome)
                    reusable = reusable and not isinstance(outcome, Failed)
                return outcome
            finally:
                self._put_back(connection, reusable)

    def _take_idle(self) -> OpenConnection | None:
        now_s = time.monotonic()
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            if connection.usable and now_s - connection.used_s <= self.idle_max_s:
                return connection
            connection.close()

    def _put_back(self, connection: OpenConnection, reusable: bool) -> None:
        if reusable:
            connection.used_s = time.monotonic()
            with self._lock:
                if not self._closed:
                    self._idle.append(connection)
                    return
        connection.close()


def _was_closed(outcome: Any) -> bool:
    return (
        isinstance(outcome, RefusedBeforeRun) and outcome.reason is RefusalReason.CONNECTION_CLOSED
    )


class PoolSet:
    """Pools by address.

    Args:
        connections_count: open connections to each address, unless asked otherwise.
        connect_timeout_s: time limit of a connection attempt.
        idle_max_s: age at which an unused connection is closed.
    """

    def __init__(
        self, connections_count: int, connect_timeout_s: float = 1.0, idle_max_s: float = 10.0
    ) -> None:
        self.connections_count = connections_count
        self.connect_timeout_s = connect_timeout_s
        self.idle_max_s = idle_max_s
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}

    def get(self, address: str, connections_count: int | None = None) -> ConnectionPool:
        """Return the pool of an address; its size is fixed by the first call.

        Args:
            address: `ip:port`.
            connections_count: open connections at most.

        Returns:
            The pool.
        """
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                count = connections_count or self.connections_count
                pool = ConnectionPool(address, count, self.connect_timeout_s, self.idle_max_s)
                self._pools[address] = pool
            return pool

    def retain(self, addresses: set[str]) -> None:
        """Close the pools of all other addresses, and connections that were long unused."""
        with self._lock:
            gone = [self._pools.pop(address) for address in set(self._pools) - addresses]
            kept = list(self._pools.values())
        for pool in gone:
            pool.close()
        now_s = time.monotonic()
        for pool in kept:
            pool.close_idle(now_s)

    def close(self) -> None:
        """Close all pools."""
        self.retain(set())
