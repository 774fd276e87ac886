"""Client for the platform's VM list."""

import urllib.parse

from fireflywharf_core.platform import VmInfo

from ._json_calls import call_json
from ._outcomes import PlatformOutcome
from ._pool import PoolSet


class VmListClient:
    """Reads the VM list, which may be outdated and must be treated as a hint.

    Args:
        url: base URL with IP address and port.
        timeout_s: time limit of one call.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self._pools = PoolSet(2, connect_timeout_s=timeout_s)

    def list(self) -> PlatformOutcome[list[VmInfo]]:
        """Read the VMs of all failure domains."""
        parts = urllib.parse.urlsplit(self.url)
        path = f"{parts.path.rstrip('/')}/v1/vms"
        return call_json(self._pools.get(parts.netloc), "GET", path, list[VmInfo], self.timeout_s)

    def close(self) -> None:
        """Close all connections."""
        self._pools.close()
