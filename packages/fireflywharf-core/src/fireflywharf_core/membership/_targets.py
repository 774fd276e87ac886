"""Assignment of the targets of a failure domain to its entry VMs."""

from collections.abc import Collection

import attrs

from ._rendezvous import assign_owner


@attrs.frozen(slots=True)
class TargetPlan:
    """What to do with the leases of targets.

    Args:
        claim: targets to claim and then renew.
        keep: held targets to renew.
        release: held targets to give up after the requests in progress have ended or been noted.
    """

    claim: list[str]
    keep: list[str]
    release: list[str]


class TargetAssignment:
    """Plans which targets one entry VM holds.

    The owner of a target is the first of the live members that are not draining, by rendezvous
    hash. A held target moves to a better owner only after that owner has been the same for some
    time, so that a VM that comes and goes does not move targets.

    Args:
        member: own name in the sets of members.
        handover_delay_s: time for which the better owner must have been the same.
    """

    def __init__(self, member: str, handover_delay_s: float = 2.0) -> None:
        self.member = member
        self.handover_delay_s = handover_delay_s
        self._better_owners: dict[str, tuple[str, float]] = {}

    def decide(
        self,
        targets: Collection[str],
        members: Collection[str],
        held: Collection[str],
        now_s: float,
        draining: bool = False,
    ) -> TargetPlan:
        """Return the plan for all targets.

        Args:
            targets: usable targets of the domain; a held one that is missing is released.
            members: live members that are not draining, with or without the own name.
            held: targets held now.
            now_s: present time.
            draining: whether the own process is leaving; it then claims nothing and releases all.

        Returns:
            The plan; a target of another owner that is not held is in no list.
        """
        held = set(held)
        if draining:
            self._better_owners.clear()
            return TargetPlan([], [], sorted(held))
        candidates = set(members) | {self.member}
        plan = TargetPlan([], [], sorted(held.difference(targets)))
        for target in sorted(set(targets)):
            owner = assign_owner(target, candidates)
            if owner == self.member:
                self._better_owners.pop(target, None)
                (plan.keep if target in held else plan.claim).append(target)
            elif target in held:
                keep = not self._is_owner_stable(target, owner, now_s)
                (plan.keep if keep else plan.release).append(target)
            else:
                self._better_owners.pop(target, None)
        for target in set(self._better_owners).difference(targets):
            del self._better_owners[target]
        return plan

    def _is_owner_stable(self, target: str, owner: str, now_s: float) -> bool:
        known_owner, since_s = self._better_owners.get(target, ("", now_s))
        if known_owner != owner:
            self._better_owners[target] = (owner, now_s)
            since_s = now_s
        return now_s - since_s >= self.handover_delay_s
