"""Live peers, leader election of the scheduler, and assignment of targets and digests."""

from ._digests import DigestPlanner
from ._election import (
    ActAsScheduler,
    ClaimWorkers,
    ElectionDecision,
    ElectionView,
    SchedulerElection,
    StayStandby,
    StepDown,
)
from ._peers import HeartbeatEffect, PeerTable
from ._rendezvous import assign_owner, rank_members
from ._targets import TargetAssignment, TargetPlan
from ._worker_set import plan_worker_changes

__all__ = [
    "ActAsScheduler",
    "ClaimWorkers",
    "DigestPlanner",
    "ElectionDecision",
    "ElectionView",
    "HeartbeatEffect",
    "PeerTable",
    "SchedulerElection",
    "StayStandby",
    "StepDown",
    "TargetAssignment",
    "TargetPlan",
    "assign_owner",
    "plan_worker_changes",
    "rank_members",
]
