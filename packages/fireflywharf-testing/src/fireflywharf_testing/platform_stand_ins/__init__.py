"""Stand-ins for the platform of the users: store, executors and advice service, with faults.

They implement the platform's protocol and therefore use its names.
"""

from ._events import EndsAcknowledged, Event, FaultNoted, LeaseLapsed, RunEnded, RunStarted
from ._executor import StandInExecutor
from ._faulty_executor import FaultyExecutor
from ._silence import Direction, SilenceableServer
from ._stand_ins import PlatformStandIns
from ._store import StandInStore, StoreFault
from ._store_gate import GateMode, StoreGate

__all__ = [
    "Direction",
    "EndsAcknowledged",
    "Event",
    "FaultNoted",
    "FaultyExecutor",
    "GateMode",
    "LeaseLapsed",
    "PlatformStandIns",
    "RunEnded",
    "RunStarted",
    "SilenceableServer",
    "StandInExecutor",
    "StandInStore",
    "StoreFault",
    "StoreGate",
]
