"""Stand-ins for the platform of the users: store, executors and advice service, with faults.

They implement the platform's protocol and therefore use its names.
"""

from ._executor import StandInExecutor
from ._stand_ins import PlatformStandIns
from ._store import StandInStore, StoreFault

__all__ = ["PlatformStandIns", "StandInExecutor", "StandInStore", "StoreFault"]
