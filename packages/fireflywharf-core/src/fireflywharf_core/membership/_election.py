"""Leader election of the scheduler of a failure domain by a majority of worker leases."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

import attrs

from ..leases import margin_s
from ..messages import Heartbeat
from ._rendezvous import rank_members


@dataclass(frozen=True, slots=True)
class StayStandby:
    """Hold no workers; accept requests and forward them."""

    reason: str


@dataclass(frozen=True, slots=True)
class ClaimWorkers:
    """Claim leases of the known workers without issuing commands to them."""

    reason: str


@dataclass(frozen=True, slots=True)
class ActAsScheduler:
    """Act as scheduler of the domain, with the leases of more than half of the known workers."""

    held_count: int
    known_count: int
    since_s: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """Stop all starts, renewals and acknowledgements at once and release every held worker."""

    reason: str


ElectionDecision = StayStandby | ClaimWorkers | ActAsScheduler | StepDown


class _State(Enum):
    STANDBY = "standby"
    CLAIMING = "claiming"
    ACTING = "acting"


@attrs.frozen(slots=True, kw_only=True)
class ElectionView:
    """State known to a candidate at the time of a decision.

    Args:
        known_workers: workers with a `WorkerAdded` and no later `WorkerRemoved` record.
        held_workers: workers whose leases may be acted on now.
        known_workers_read_s: start of the last read that reached the end of the domain stream.
            While the log is down, time of the last exchange with all live peers. None before
            either.
        peers: heartbeats of the peers that are not suspected.
        draining: whether this process is shutting down.
    """

    known_workers: Collection[str]
    held_workers: Collection[str]
    known_workers_read_s: float | None
    peers: Collection[Heartbeat] = ()
    draining: bool = False


class SchedulerElection:
    """Decides whether this process stays standby, claims workers or acts as scheduler.

    A tenure is the time for which one process acts as scheduler without interruption.

    Args:
        domain: failure domain.
        incarnation: incarnation of this process.
        lease_s: duration of a holder lease in seconds.
        suspicion_s: silence in seconds after which the peer table suspects a peer.
        task_lease_s: duration of a task lease in seconds.
        claim_timeout_s: time in seconds in which a candidate must reach a majority before it lets
            others try. Also the time after which the next candidate in the ranking may claim while
            a higher-ranked one is live.
    """

    def __init__(
        self,
        domain: str,
        incarnation: str,
        lease_s: float = 5.0,
        suspicion_s: float = 2.0,
        task_lease_s: float = 30.0,
        claim_timeout_s: float = 8.0,
    ) -> None:
        self.domain = domain
        self.incarnation = incarnation
        self.lease_s = lease_s
        self.suspicion_s = suspicion_s
        self.task_lease_s = task_lease_s
        self.claim_timeout_s = claim_timeout_s
        self.tenure_since_s: float | None = None
        self._state = _State.STANDBY
        self._started_s: float | None = None
        self._no_scheduler_since_s: float | None = None
        self._claiming_since_s = float("-inf")
        self._majority_since_s: float | None = None
        self._no_claim_until_s = float("-inf")
        self._reported: set[str] = set()

    @property
    def acting(self) -> bool:
        """Whether this process is the scheduler by the last decision."""
        return self._state is _State.ACTING

    def decide(self, view: ElectionView, now_s: float) -> ElectionDecision:
        """Return what to do now; call this before each round of commands.

        Args:
            view: current state; `held_workers` must be taken at `now_s`.
            now_s: current time in seconds.

        Returns:
            The decision. Commands to workers other than claims are allowed only with
            `ActAsScheduler`.
        """
        if self._started_s is None:
            self._started_s = now_s
        known = set(view.known_workers)
        held_count = len(known.intersection(view.held_workers))
        if 2 * held_count <= len(known):
            self._majority_since_s = None
        elif self._majority_since_s is None:
            self._majority_since_s = now_s
        if self._state is _State.ACTING:
            return self._decide_acting(view, held_count, len(known), now_s)
        scheduler = next((peer for peer in view.peers if peer.scheduler), None)
        if scheduler is not None:
            self._no_scheduler_since_s = None
        elif self._no_scheduler_since_s is None:
            self._no_scheduler_since_s = now_s
        reason = self._reason_not_to_claim(view, scheduler, known, now_s)
        if reason is not None:
            return self._return_to_standby(view, reason, now_s)
        if self._state is _State.STANDBY:
            self._state = _State.CLAIMING
            self._claiming_since_s = now_s
        return self._decide_claiming(view, held_count, len(known), now_s)

    def may_command(self, held_count: int, known_count: int) -> bool:
        """Return whether commands are allowed with these counts, taken just before the command."""
        return self._state is _State.ACTING and 2 * held_count > known_count

    def on_report(self, worker: str) -> None:
        """Record that a worker listed its attempts in the answer to a granted claim."""
        self._reported.add(worker)

    def on_lost(self, worker: str) -> None:
        """Record that the lease of a worker was lost, so its report may be out of date."""
        self._reported.discard(worker)

    def recovery_blockers(self, known_workers: Collection[str], now_s: float) -> set[str]:
        """Return the workers that may run attempts unknown to this tenure.

        A worker stops blocking recovery when it has reported. It also stops when the task lease
        plus margin has passed since the tenure began, because no earlier holder could renew task
        leases since then.

        Args:
            known_workers: known workers of the domain.
            now_s: current time in seconds.

        Returns:
            The blocking workers; outside a tenure, all known workers.
        """
        if self.tenure_since_s is None:
            return set(known_workers)
        passed_s = now_s - self.tenure_since_s
        if passed_s >= self.task_lease_s + margin_s(self.task_lease_s):
            return set()
        return set(known_workers) - self._reported

    def _reason_not_to_claim(
        self, view: ElectionView, scheduler: Heartbeat | None, known: set[str], now_s: float
    ) -> str | None:
        """Return why this process must not claim workers now, or None if it may."""
        if view.draining:
            return "this process is draining"
        if view.known_workers_read_s is None:
            return "the known workers have not been read yet"
        if not known:
            return "no worker is known"
        if now_s - self._started_s < self.suspicion_s:
            return "the first heartbeats of peers may not have arrived yet"
        if scheduler is not None:
            return f"{scheduler.incarnation} is the scheduler"
        if now_s < self._no_claim_until_s:
            return "another candidate may claim after a failed attempt of this process"
        candidates = [p.incarnation for p in view.peers if not p.draining] + [self.incarnation]
        ranking = rank_members(self.domain, candidates)
        rank = ranking.index(self.incarnation)
        claiming = {p.incarnation for p in view.peers if p.held_workers_count > 0}
        higher_ranked = next((c for c in ranking[:rank] if c in claiming), None)
        if higher_ranked is not None:
            return f"{higher_ranked} claims workers and ranks higher"
        if now_s - self._no_scheduler_since_s < rank * self.claim_timeout_s:
            return f"{ranking[0]} ranks highest"
        return None

    def _decide_claiming(
        self, view: ElectionView, held_count: int, known_count: int, now_s: float
    ) -> ElectionDecision:
        majority_since_s = self._majority_since_s
        if majority_since_s is None:
            if now_s - self._claiming_since_s >= self.claim_timeout_s:
                if any(not peer.draining for peer in view.peers):
                    self._no_claim_until_s = now_s + self.claim_timeout_s
                return self._return_to_standby(
                    view, f"{held_count} of {known_count} workers held at the claim timeout", now_s
                )
            return ClaimWorkers(f"{held_count} of {known_count} workers held")
        # The majority must include workers that the previous scheduler added while this process was
        # claiming. The read that shows them must begin when no other process can hold a majority.
        if view.known_workers_read_s < majority_since_s:
            return ClaimWorkers("the known workers must be read again after reaching a majority")
        self._state = _State.ACTING
        self.tenure_since_s = now_s
        return ActAsScheduler(held_count, known_count, now_s)

    def _decide_acting(
        self, view: ElectionView, held_count: int, known_count: int, now_s: float
    ) -> ElectionDecision:
        if view.draining:
            return self._return_to_standby(view, "this process is draining", now_s)
        if self._majority_since_s is None:
            return self._return_to_standby(
                view, f"only {held_count} of {known_count} workers held", now_s
            )
        return ActAsScheduler(held_count, known_count, self.tenure_since_s)

    def _return_to_standby(
        self, view: ElectionView, reason: str, now_s: float
    ) -> StepDown | StayStandby:
        previous_state = self._state
        self._state = _State.STANDBY
        self._majority_since_s = None
        if previous_state is not _State.STANDBY:
            self._reported.clear()
        if previous_state is _State.ACTING:
            self.tenure_since_s = None
            self._no_scheduler_since_s = now_s
        if previous_state is _State.STANDBY and not view.held_workers:
            return StayStandby(reason)
        return StepDown(reason)
