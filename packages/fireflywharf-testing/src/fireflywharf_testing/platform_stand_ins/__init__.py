"""Stand-ins of the users' platform: store, executors and advice service, with faults.

They speak the platform's protocol and therefore use its names.
"""

from ._executor import StandInExecutor
from ._store import StandInStore, StoreFault
from ._world import PlatformStandIns

__all__ = ["PlatformStandIns", "StandInExecutor", "StandInStore", "StoreFault"]
