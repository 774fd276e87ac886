"""Choice of the entry VMs in other failure domains to which a scheduler sends digests."""

import hashlib
from collections.abc import Mapping, Sequence

import attrs


@attrs.define(slots=True)
class _DomainSchedule:
    due_s: float
    next_receiver: int = 0


class DigestPlanner:
    """Chooses the receivers of `DomainDigest` messages.

    Once per interval, `fanout_count` VMs of each other domain get a digest. The receivers rotate
    over the VMs of the domain, so that every VM gets digests and an unreachable VM does not cut the
    domain off. The domains are spread over the interval.

    Args:
        domain: own failure domain.
        interval_s: time in seconds between two digests to the same domain.
        fanout_count: number of receivers in each domain.
        max_per_call: most receivers returned by one call, which bounds the work after a pause.
    """

    def __init__(
        self,
        domain: str,
        interval_s: float = 1.0,
        fanout_count: int = 2,
        max_per_call: int = 64,
    ) -> None:
        self.domain = domain
        self.interval_s = interval_s
        self.fanout_count = fanout_count
        self.max_per_call = max_per_call
        self._schedules: dict[str, _DomainSchedule] = {}

    def take_due_receivers(self, members: Mapping[str, Sequence[str]], now_s: float) -> list[str]:
        """Return the VMs to send a digest to now, and schedule the next digests.

        Args:
            members: entry VMs by failure domain; the own domain is skipped.
            now_s: current time in seconds.

        Returns:
            Names of VMs; at most `fanout_count` of each domain per interval.
        """
        for domain in set(self._schedules).difference(members):
            del self._schedules[domain]
        receivers: list[str] = []
        for domain, names in members.items():
            if domain == self.domain or not names:
                continue
            schedule = self._schedules.get(domain)
            if schedule is None:
                schedule = self._schedules[domain] = _DomainSchedule(now_s + self._phase_s(domain))
            count = min(self.fanout_count, len(names))
            if now_s < schedule.due_s or len(receivers) + count > self.max_per_call:
                continue
            receivers += [names[(schedule.next_receiver + i) % len(names)] for i in range(count)]
            schedule.next_receiver = (schedule.next_receiver + count) % len(names)
            schedule.due_s = max(schedule.due_s, now_s - self.interval_s / 10) + self.interval_s
        return receivers

    def _phase_s(self, domain: str) -> float:
        digest = hashlib.blake2b(f"{self.domain}\x00{domain}".encode(), digest_size=4).digest()
        return int.from_bytes(digest, "big") / 2**32 * self.interval_s
