"""Bounded connection pools, one for each address."""

import logging
import threading
import time
from collections.abc import Callable
from typing import Any

from ..settings import split_address
from ._exchange import HttpRequest, HttpResponse, PooledConnection, open_connection, run_exchange
from ._outcomes import Failed, RefusalReason, RefusedBeforeRun

_LOG = logging.getLogger(__name__)

# A request with less time left when it gets a connection is not sent: the response could not arrive
# in time, and the outcome would be unknown instead of not run.
MIN_SEND_BUDGET_S = 0.005


class ConnectionPool:
    """Pool of connections to one address.

    Args:
        address: `ip:port`.
        connections_count: maximum number of open connections.
        connect_timeout_s: time limit of a connection attempt.
        idle_max_s: time after which an idle connection is closed, so that requests are rarely
            sent on a connection that stopped responding while it was idle.
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
        self._connections_semaphore = threading.BoundedSemaphore(connections_count)
        self._lock = threading.Lock()
        self._idle: list[PooledConnection] = []
        self._closed = False

    def send(
        self, request: HttpRequest, validate: Callable[[HttpResponse], Any] | None = None
    ) -> Any:
        """Send a request on an idle or new connection.

        Args:
            request: request to send.
            validate: converts the response to an outcome. If it returns `Failed`, the connection
                is closed, because the next response on it could belong to this request.

        Returns:
            The outcome of `validate`, or the response itself without `validate`; a refusal, also
            if no connection became available before the deadline; or the failure.
        """
        remaining_s = request.deadline_s - time.monotonic()
        if remaining_s <= 0:
            detail = f"no time left to send the request to {self.address}"
            return RefusedBeforeRun(RefusalReason.BUDGET_SPENT, detail)
        if not self._connections_semaphore.acquire(timeout=remaining_s):
            detail = f"all {self.connections_count} connections to {self.address} are in use"
            return RefusedBeforeRun(RefusalReason.NO_CONNECTION, detail)
        try:
            if request.deadline_s - time.monotonic() < MIN_SEND_BUDGET_S:
                detail = f"no time left to send the request to {self.address}"
                return RefusedBeforeRun(RefusalReason.BUDGET_SPENT, detail)
            return self._send_on_connection(request, validate)
        finally:
            self._connections_semaphore.release()

    def close(self) -> None:
        """Close idle connections now and connections in use after their exchange."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def close_idle(self, now_s: float) -> None:
        """Close the connections that have been idle for longer than `idle_max_s`."""
        with self._lock:
            expired = [c for c in self._idle if now_s - c.last_used_s > self.idle_max_s]
            self._idle = [c for c in self._idle if now_s - c.last_used_s <= self.idle_max_s]
        for connection in expired:
            connection.close()

    def _close_suspects(self, sent_s: float) -> None:
        """Close the idle connections that may have gone silent together with another one.

        They have not answered since `sent_s`, when a request was sent that got no complete answer
        on a connection that had worked before. Each of them would cost a further request.
        """
        with self._lock:
            suspects = [c for c in self._idle if c.last_used_s < sent_s]
            self._idle = [c for c in self._idle if c.last_used_s >= sent_s]
        for connection in suspects:
            connection.close()
        if suspects:
            _LOG.info(
                "%d idle connections to %s closed, as another one gave no answer",
                len(suspects),
                self.address,
            )

    def _send_on_connection(
        self, request: HttpRequest, validate: Callable[[HttpResponse], Any] | None
    ) -> Any:
        while True:
            connection = self._pop_idle()
            if connection is None:
                timeout_s = min(self.connect_timeout_s, request.deadline_s - time.monotonic())
                opened = open_connection(self._host, self._port, timeout_s)
                if isinstance(opened, RefusedBeforeRun):
                    return opened
                connection = opened
            is_new, connection.is_new = connection.is_new, False
            reusable = False
            sent_s = time.monotonic()
            try:
                outcome = run_exchange(connection, request)
                # The peer closed a pooled connection before any byte was sent: use another one.
                if _is_connection_closed(outcome) and not is_new:
                    continue
                if isinstance(outcome, HttpResponse):
                    reusable = outcome.reusable
                    outcome = outcome if validate is None else validate(outcome)
                    reusable = reusable and not isinstance(outcome, Failed)
                elif isinstance(outcome, Failed) and not is_new:
                    self._close_suspects(sent_s)
                return outcome
            finally:
                self._return_connection(connection, reusable)

    def _pop_idle(self) -> PooledConnection | None:
        now_s = time.monotonic()
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            if connection.is_usable and now_s - connection.last_used_s <= self.idle_max_s:
                return connection
            connection.close()

    def _return_connection(self, connection: PooledConnection, reusable: bool) -> None:
        if reusable:
            connection.last_used_s = time.monotonic()
            with self._lock:
                if not self._closed:
                    self._idle.append(connection)
                    return
        connection.close()


def _is_connection_closed(outcome: Any) -> bool:
    return (
        isinstance(outcome, RefusedBeforeRun) and outcome.reason is RefusalReason.CONNECTION_CLOSED
    )


class PoolSet:
    """Connection pools by address.

    Args:
        connections_count: default maximum number of open connections to an address.
        connect_timeout_s: time limit of a connection attempt.
        idle_max_s: time after which an idle connection is closed.
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
        """Return the pool of an address; the first call for an address sets the pool size.

        Args:
            address: `ip:port`.
            connections_count: maximum number of open connections; None for the default.

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

    def close_all_except(self, addresses: set[str]) -> None:
        """Close the pools of all other addresses and expired idle connections."""
        with self._lock:
            removed = [self._pools.pop(address) for address in set(self._pools) - addresses]
            kept = list(self._pools.values())
        for pool in removed:
            pool.close()
        now_s = time.monotonic()
        for pool in kept:
            pool.close_idle(now_s)

    def close(self) -> None:
        """Close all pools."""
        self.close_all_except(set())
