"""Seeded histories of one failure domain on a virtual clock, without sockets or threads."""

from ._cluster import PLANTED_DEFECTS, Cluster, ClusterPlan
from ._faults import FAULTS
from ._run import HistoryResult, record_history, run_history

__all__ = [
    "FAULTS",
    "PLANTED_DEFECTS",
    "Cluster",
    "ClusterPlan",
    "HistoryResult",
    "record_history",
    "run_history",
]
