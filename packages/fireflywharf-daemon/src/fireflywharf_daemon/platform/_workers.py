"""Client for workers."""

from collections.abc import Sequence
from typing import Any

import msgspec

from fireflywharf_core.platform import ClaimAnswer, CommandAnswer, WorkerCommand, WorkerListing

from ._json_calls import call_json
from ._outcomes import PlatformOutcome
from ._pool import PoolSet

CONNECTIONS_COUNT = 2


def encode_command(command: WorkerCommand) -> dict[str, Any]:
    """Return the JSON object of a command."""
    return {"type": type(command).__name__, **msgspec.to_builtins(command)}


class WorkerClient:
    """Calls workers by address.

    A refusal with `STALE_EPOCH` means that the epoch is not the current one or that the holder
    lease has expired; no command of the call took effect.

    Args:
        timeout_s: time limit of one call.
        connect_timeout_s: time limit of a connection attempt.
    """

    def __init__(self, timeout_s: float = 2.0, connect_timeout_s: float = 1.0) -> None:
        self.timeout_s = timeout_s
        self.connect_timeout_s = connect_timeout_s
        self._pools = PoolSet(CONNECTIONS_COUNT, connect_timeout_s)

    def claim(
        self, address: str, holder: str, ttl_s: float, renew_tasks: bool = False
    ) -> PlatformOutcome[ClaimAnswer]:
        """Claim or renew the holder lease.

        Args:
            address: `ip:port` of the worker.
            holder: incarnation of this process.
            ttl_s: duration of the lease.
            renew_tasks: whether renewing the lease also renews the task leases.

        Returns:
            The answer, whose `granted` tells whether the caller holds the lease; the refusal; or
            the failure.
        """
        data = {"holder": holder, "ttl_s": ttl_s, "renew_tasks": renew_tasks}
        return self._call(address, "POST", "/v1/claim", ClaimAnswer, data)

    def commands(
        self, address: str, epoch: int, commands: Sequence[WorkerCommand]
    ) -> PlatformOutcome[list[CommandAnswer]]:
        """Send commands and return one answer for each, in the same order."""
        data = {"epoch": epoch, "commands": [encode_command(command) for command in commands]}
        return self._call(address, "POST", "/v1/commands", list[CommandAnswer], data)

    def release(self, address: str, epoch: int) -> PlatformOutcome[None]:
        """Release the holder lease."""
        return self._call(address, "POST", "/v1/release", None, {"epoch": epoch})

    def close_all_except(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        self._pools.close_all_except(addresses)

    def close(self) -> None:
        """Close all connections."""
        self._pools.close()

    def _call(
        self, address: str, method: str, path: str, response_type: Any, data: object = None
    ) -> PlatformOutcome:
        pool = self._pools.get(address)
        return call_json(pool, method, path, response_type, self.timeout_s, data)

    def list(self, address: str) -> PlatformOutcome[WorkerListing]:
        """Read the running and ended attempts of a worker."""
        return self._call(address, "GET", "/v1/list", WorkerListing)
