"""Rules for VMs that cannot use the log, and for their callers."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Collection, Mapping
from enum import Enum
from itertools import accumulate

from ._journal_records import (
    VmPresent,
)

_RETRY_MAX_S = 4.0
"""Maximum retry delay; outages of the log last up to 9 s, and callers retry four times."""
_JITTER = 0.25
"""Maximum relative change of the outage length, so that callers do not return together."""


def retry_after_s(outage_s: float, draw: float) -> int:
    """Return the delay after which a rejected caller should retry, in whole seconds.

    Load pattern: the log is unavailable for 4 to 9 s, and callers retry four times. A fixed delay
    of one second uses up all retries within the outage. A delay of one second more than the outage
    has lasted roughly doubles with each retry, so that the last retry is after the outage.

    Args:
        outage_s: length of the outage so far, in seconds; 0 if there is none.
        draw: random number from 0 to 1 that spreads the callers.
    """
    spread_s = outage_s * (1 - _JITTER + 2 * _JITTER * draw)
    return round(min(_RETRY_MAX_S, 1.0 + spread_s))


class PeerOutcome(Enum):
    """What a VM learned from a call that it forwarded to a peer."""

    ANSWERED = "answered"
    """The peer has answered for the caller."""
    NO_STORE = "no_store"
    """The peer cannot use the log either; it has done nothing."""
    BUSY = "busy"
    """The peer takes no further call of others; it has done nothing."""
    NOT_SENT = "not_sent"
    """No connection to the peer could be established."""
    NO_ANSWER = "no_answer"
    """The peer may have carried out the call, or may do so later."""

    @property
    def is_undone(self) -> bool:
        """Whether the call has certainly had no effect, so that another peer may be tried."""
        return self not in (PeerOutcome.ANSWERED, PeerOutcome.NO_ANSWER)


TRIES_MAX = 3
"""Maximum number of peers for one call; callers wait 3 s in total."""
_PAUSES_S = {
    # An outage of the log lasts up to 9 s and may end at any time.
    PeerOutcome.NO_STORE: 1.5,
    # A call takes 10 to 50 ms on a quiet log.
    PeerOutcome.BUSY: 0.2,
    PeerOutcome.NOT_SENT: 5.0,
    PeerOutcome.NO_ANSWER: 5.0,
}
"""Time for which a peer gets no further call, by its latest answer, in seconds."""
_READINESS_PAUSE_S = 2.0
"""Time for which a VM is not ready after a call that no peer could take; then callers try again."""
_CALLS_PER_PROCESSOR = 8
"""Calls that a VM takes for others at once, for each processor.

If a third of the VMs cannot use the log, each other VM takes half as many calls as it gets itself,
about one per second; on a log that is 90 times slower, each takes a second."""
_CALLS_MIN = 2


def taken_calls_max(processors_millicores: int) -> int:
    """Return the number of calls that a VM takes for others at the same time.

    Load pattern: the log rejects a third of the VMs, which all forward their calls. Small VMs must
    not be slowed by calls that larger ones can take.

    Args:
        processors_millicores: total processor speed of the VM; 0 if unknown.
    """
    return max(_CALLS_MIN, _CALLS_PER_PROCESSOR * (processors_millicores or 1000) // 1000)


class DetourPeers:
    """State of the peers as far as earlier calls have shown it, with its age.

    Load pattern: the log rejects a third of the VMs for up to 9 s, possibly whole failure domains.
    A peer that could not take a call is skipped for a while. VMs of the own failure domain come
    first, unless one of them has recently said that it cannot use the log either.

    Args:
        own_vm: name of this VM.
    """

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._latest: dict[str, tuple[PeerOutcome, float]] = {}
        self._undone_s = float("-inf")

    def observe(self, vm: str, outcome: PeerOutcome, now_s: float) -> None:
        """Record the outcome of a call that was sent to a peer."""
        self._latest[vm] = (outcome, now_s)
        if outcome is PeerOutcome.ANSWERED:
            self._undone_s = float("-inf")

    def observe_undone(self, now_s: float) -> None:
        """Record that no peer could take a call."""
        self._undone_s = now_s

    def can_forward(self, vms: Mapping[str, VmPresent], now_s: float) -> bool:
        """Return whether callers of this VM can presumably be served by a peer."""
        return now_s >= self._undone_s + _READINESS_PAUSE_S and bool(self._usable(vms, now_s))

    def choose(
        self, vms: Mapping[str, VmPresent], tried: Collection[str], now_s: float, draw: float
    ) -> str | None:
        """Return the peer for a call, or None if there is none.

        Args:
            vms: VMs of the deployment by name.
            tried: peers that were tried for this call.
            now_s: local time in seconds.
            draw: random number from 0 to 1; larger VMs are chosen more often.
        """
        names = [name for name in self._usable(vms, now_s) if name not in tried]
        own = vms.get(self._own_vm)
        if own is not None:
            near = [name for name in names if vms[name].domain == own.domain]
            if near and not self._has_outage(vms, own.domain, now_s):
                names = near
            elif len(near) < len(names):
                names = [name for name in names if name not in near]
        if not names:
            return None
        sums = list(accumulate(max(1, vms[name].processors_millicores) for name in names))
        return names[min(bisect_right(sums, draw * sums[-1]), len(names) - 1)]

    def _usable(self, vms: Mapping[str, VmPresent], now_s: float) -> list[str]:
        return [
            name for name in sorted(vms) if name != self._own_vm and not self._pauses(name, now_s)
        ]

    def _pauses(self, vm: str, now_s: float) -> bool:
        outcome, seen_s = self._latest.get(vm, (PeerOutcome.ANSWERED, 0.0))
        return now_s < seen_s + _PAUSES_S.get(outcome, 0.0)

    def _has_outage(self, vms: Mapping[str, VmPresent], domain: str, now_s: float) -> bool:
        return any(
            outcome is PeerOutcome.NO_STORE and self._pauses(name, now_s)
            for name, (outcome, _) in self._latest.items()
            if name in vms and vms[name].domain == domain
        )
