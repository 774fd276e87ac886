"""Assignment of the targets of a failure domain to its entry VMs."""

from collections.abc import Collection

import attrs

from ._rendezvous import assign_owner


@attrs.frozen(slots=True)
class TargetPlan:
    """Plan for the leases of targets.

    Args:
        claim: targets to claim.
        keep: held targets to renew.
        release: held targets to release once their requests in progress have ended or are recorded.
    """

    claim: list[str]
    keep: list[str]
    release: list[str]


class TargetAssignment:
    """Decides which targets one entry VM holds.

    The owner of a target is chosen by rendezvous hashing among the live members that are not
    draining. A held target moves to another owner only after that owner has been preferred for
    `handover_delay_s`, so that an unstable VM does not move targets back and forth.

    Args:
        member: name of this VM among the members.
        handover_delay_s: time in seconds for which the new owner must have been the same.
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
        """Return the plan for all targets of the domain.

        Args:
            targets: usable targets of the domain; other held targets are released.
            members: live members that are not draining, with or without this VM.
            held: targets held now.
            now_s: current time in seconds.
            draining: whether this process is shutting down, so that it releases all targets.

        Returns:
            The plan; targets that are neither owned nor held by this VM are in no list.
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
