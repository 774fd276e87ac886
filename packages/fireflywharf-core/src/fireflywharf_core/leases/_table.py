"""Holder side of the leases of many workers or targets, with renewals spread over time."""

import hashlib
import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

import attrs

from ._holder import HolderLease, LeaseGained, LeaseRenewed, RenewalResult, StaleAnswer, margin_s

JITTER_FRACTION = 0.05
ANSWER_TIMEOUT_FRACTION = 0.5
CLAIM_BACKOFF_MAX_INTERVALS = 8


@dataclass(frozen=True, slots=True)
class UnwantedLeaseGranted:
    """A claim in flight during a release was granted; the caller must release `epoch` too."""

    epoch: int


@attrs.define(slots=True)
class _LeaseState:
    lease: HolderLease
    renewal_phase: float
    due_s: float
    failures_count: int = 0
    held: bool = False
    expiry_queued: bool = False
    is_wanted: bool = True
    sent_s: float = float("-inf")
    claim_not_before_s: float = float("-inf")
    boot_id: str = ""
    earlier_boot_ids: tuple[str, ...] = ()


class LeaseTable:
    """Holder side of many leases.

    The caller gets the names to claim from `take_due`, calls `record_claim_sent` before it sends
    each claim, and passes the answer to one of the `on_` methods. `held` returns the names whose
    leases may be acted on.

    Args:
        lease_s: duration of each lease in seconds.
        renewal_interval_s: time in seconds between two renewals of a held lease.
        claim_interval_s: time in seconds between two claims of a lease that is not held.
        rng: random number generator for jitter.
    """

    def __init__(
        self,
        lease_s: float = 5.0,
        renewal_interval_s: float = 1.0,
        claim_interval_s: float = 0.5,
        rng: random.Random | None = None,
    ) -> None:
        self.lease_s = lease_s
        self.renewal_interval_s = renewal_interval_s
        self.claim_interval_s = claim_interval_s
        self.rng = rng or random.Random(0)
        self._states: dict[str, _LeaseState] = {}
        self._due: list[tuple[float, str]] = []
        self._held: set[str] = set()
        self._expiries: list[tuple[float, str]] = []
        self._lost: set[str] = set()
        # Times before which forgotten names are not claimed again.
        self._forgotten_until_s: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._states

    def names(self) -> list[str]:
        """Return the names of all tracked leases."""
        return list(self._states)

    def track(self, names: Iterable[str], now_s: float) -> None:
        """Start to claim and renew the leases of `names`; those already claimed are unchanged.

        A released lease is claimed again only after its duration, and a forgotten one only after
        its last claim has expired. Otherwise a release still in flight could end the new lease
        without the holder noticing.
        """
        self._forgotten_until_s = {
            name: s for name, s in self._forgotten_until_s.items() if s > now_s
        }
        for name in names:
            state = self._states.get(name)
            if state is None:
                digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
                renewal_phase = int.from_bytes(digest, "big") / 2**32
                state = self._states[name] = _LeaseState(
                    HolderLease(self.lease_s), renewal_phase, now_s
                )
            elif state.is_wanted:
                continue
            state.is_wanted = True
            first_s = now_s + state.renewal_phase * self.claim_interval_s
            claim_from_s = max(
                self._forgotten_until_s.pop(name, first_s), self._last_claim_expires_s(state)
            )
            self._schedule(name, state, max(first_s, claim_from_s))

    def forget(self, names: Iterable[str]) -> None:
        """Stop claiming and renewing the leases of `names` and ignore later answers for them."""
        for name in names:
            state = self._states.pop(name, None)
            if state is not None and state.sent_s > float("-inf"):
                self._forgotten_until_s[name] = self._last_claim_expires_s(state)
            self._held.discard(name)
            self._lost.discard(name)

    def take_due(self, now_s: float, limit: int = 1_000_000) -> list[str]:
        """Return at most `limit` names whose leases must be claimed or renewed now.

        Each returned name becomes due again after the answer timeout, unless an answer comes first.
        """
        due_names = []
        while self._due and self._due[0][0] <= now_s and len(due_names) < limit:
            due_s, name = heapq.heappop(self._due)
            state = self._states.get(name)
            if state is not None and state.is_wanted and state.due_s == due_s:
                due_names.append(name)
                self._schedule(name, state, now_s + self._answer_timeout_s())
        return due_names

    def record_claim_sent(self, name: str, now_s: float) -> float:
        """Record that a claim is about to be sent; return the `sent_s` to pass with its answer."""
        self._states[name].sent_s = now_s
        return now_s

    def on_granted(
        self,
        name: str,
        epoch: int,
        sent_s: float,
        now_s: float,
        granted_s: float | None = None,
        boot_id: str = "",
    ) -> RenewalResult | UnwantedLeaseGranted:
        """Handle the grant of a claim.

        Args:
            name: worker or target.
            epoch: epoch in the answer.
            sent_s: result of `record_claim_sent`.
            now_s: current time in seconds.
            granted_s: granted duration in seconds.
            boot_id: boot identifier of the granter; a new one invalidates the earlier lease.

        Returns:
            The effect of the answer, as for `HolderLease.on_granted`. `UnwantedLeaseGranted` if the
            lease was released while the claim was in flight.
        """
        state = self._states.get(name)
        if state is None or not self._update_boot_id(name, state, boot_id):
            return StaleAnswer()
        result = state.lease.on_granted(epoch, sent_s, now_s, granted_s)
        state.failures_count = 0
        if not state.is_wanted:
            state.lease.on_released()
            return UnwantedLeaseGranted(epoch) if isinstance(result, LeaseGained) else StaleAnswer()
        if isinstance(result, LeaseGained | LeaseRenewed) and state.lease.may_act(now_s):
            state.held = True
            self._held.add(name)
            if not state.expiry_queued:
                self._queue_expiry(name, state, now_s)
        self._schedule_after_answer(name, state, now_s)
        if epoch == state.lease.epoch and not state.lease.held:
            # The granter renewed a lease that was released. It must expire before the next claim.
            self._schedule(name, state, now_s + self.lease_s + margin_s(self.lease_s))
        return result

    def on_refused(self, name: str, epoch: int, now_s: float) -> None:
        """Handle the refusal of a claim, which contains the epoch of the current holder."""
        state = self._states.get(name)
        if state is None:
            return
        state.failures_count = 0
        state.lease.on_refused(epoch)
        if not state.lease.may_act(now_s):
            self._mark_not_held(name, state)
        self._schedule_after_answer(name, state, now_s)

    def on_stale(self, name: str, epoch: int, now_s: float) -> None:
        """Handle the rejection of a command whose `epoch` is stale."""
        state = self._states.get(name)
        if state is not None and state.lease.epoch == epoch:
            state.lease.on_released()
            self._mark_not_held(name, state)
            self._schedule_after_answer(name, state, now_s)

    def on_failed(self, name: str, now_s: float) -> None:
        """Handle a claim without an answer; a held lease remains until it expires."""
        state = self._states.get(name)
        if state is not None:
            state.failures_count += 1
            self._schedule_after_answer(name, state, now_s)

    def release(self, names: Iterable[str], now_s: float) -> list[tuple[str, int]]:
        """Release leases and do not claim them until `track` is called for them again.

        Call this before the releases are sent.

        Args:
            names: workers or targets.
            now_s: current time in seconds.

        Returns:
            (name, epoch) of each lease that was held and must be released at the granter.
        """
        released = []
        for name in names:
            state = self._states.get(name)
            if state is None or not state.is_wanted:
                continue
            state.is_wanted = False
            state.claim_not_before_s = now_s + self.lease_s + margin_s(self.lease_s)
            if state.held:
                released.append((name, state.lease.epoch))
            state.lease.on_released()
            self._mark_not_held(name, state, report_lost=False)
        return released

    def epoch(self, name: str) -> int:
        """Return the highest known epoch of `name`; 0 if it is not tracked."""
        state = self._states.get(name)
        return state.lease.epoch if state is not None else 0

    def may_act(self, name: str, now_s: float) -> bool:
        """Return whether commands under the lease of `name` may be issued now."""
        state = self._states.get(name)
        return state is not None and state.lease.may_act(now_s)

    def remaining_s(self, name: str, now_s: float) -> float:
        """Return the time in seconds for which the lease of `name` may still be acted on."""
        state = self._states.get(name)
        return state.lease.remaining_s(now_s) if state is not None else 0.0

    def held(self, now_s: float) -> frozenset[str]:
        """Return the names of the leases held now."""
        self._expire(now_s)
        return frozenset(self._held)

    def held_count(self, now_s: float) -> int:
        """Return the number of leases held now."""
        self._expire(now_s)
        return len(self._held)

    def take_lost(self, now_s: float) -> list[str]:
        """Return the names whose leases were lost since the last call, except released ones."""
        self._expire(now_s)
        lost, self._lost = sorted(self._lost), set()
        return lost

    def _expire(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, name = heapq.heappop(self._expiries)
            state = self._states.get(name)
            if state is None:
                continue
            state.expiry_queued = False
            if not state.held:
                continue
            if state.lease.may_act(now_s):
                self._queue_expiry(name, state, now_s)
            else:
                self._mark_not_held(name, state)

    def _queue_expiry(self, name: str, state: _LeaseState, now_s: float) -> None:
        # There is one entry per lease. It is queued again at its time if the lease was renewed.
        state.expiry_queued = True
        heapq.heappush(self._expiries, (now_s + state.lease.remaining_s(now_s), name))

    def _update_boot_id(self, name: str, state: _LeaseState, boot_id: str) -> bool:
        """Drop the lease after a restart of the granter; return False for an obsolete answer."""
        if boot_id in ("", state.boot_id):
            return True
        if boot_id in state.earlier_boot_ids:
            return False
        if state.boot_id:
            state.earlier_boot_ids = (*state.earlier_boot_ids[-3:], state.boot_id)
            state.lease = HolderLease(self.lease_s)
            self._mark_not_held(name, state)
        state.boot_id = boot_id
        return True

    def _mark_not_held(self, name: str, state: _LeaseState, report_lost: bool = True) -> None:
        if state.held and report_lost:
            self._lost.add(name)
        state.held = False
        self._held.discard(name)

    def _schedule_after_answer(self, name: str, state: _LeaseState, now_s: float) -> None:
        if state.held:
            # Each lease has its own phase in the interval, which spreads renewals evenly.
            interval_s = self.renewal_interval_s
            interval_number = (
                math.ceil(now_s / interval_s + 0.5 - state.renewal_phase) + state.renewal_phase
            )
            delay_s = interval_number * interval_s - now_s
        else:
            delay_s = self.claim_interval_s
            delay_s *= min(CLAIM_BACKOFF_MAX_INTERVALS, 2 ** min(state.failures_count, 8))
        delay_s *= 1 + self.rng.uniform(-JITTER_FRACTION, JITTER_FRACTION)
        self._schedule(name, state, now_s + delay_s)

    def _last_claim_expires_s(self, state: _LeaseState) -> float:
        """Return the time by which the last claim has expired and any release has arrived."""
        return max(state.claim_not_before_s, state.sent_s + self.lease_s + margin_s(self.lease_s))

    def _answer_timeout_s(self) -> float:
        return self.lease_s * ANSWER_TIMEOUT_FRACTION

    def _schedule(self, name: str, state: _LeaseState, due_s: float) -> None:
        state.due_s = due_s
        heapq.heappush(self._due, (due_s, name))
