"""Simulated histories of one failure domain on a virtual clock, repeatable from a seed.

No sockets or threads are used.
"""

from ._cluster import PLANTED_DEFECTS, ClusterPlan, VirtualCluster
from ._faults import FAULTS
from ._run import HistoryResult, record_history, run_history

__all__ = [
    "FAULTS",
    "PLANTED_DEFECTS",
    "VirtualCluster",
    "ClusterPlan",
    "HistoryResult",
    "record_history",
    "run_history",
]
