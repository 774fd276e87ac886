"""Decision whether the key of a call proves a team, as a function of state and time."""

from __future__ import annotations

import attrs

from ._specs import Configuration, Queue


@attrs.frozen(slots=True)
class KeyAccepted:
    """The call may be served for this team; empty if the call needs no key."""

    team: str


@attrs.frozen(slots=True)
class KeyUnknown:
    """The call has no key of a team."""


@attrs.frozen(slots=True)
class KeyUndecidable:
    """The configuration is too old to accept or to refuse the key."""


KeyDecision = KeyAccepted | KeyUnknown | KeyUndecidable


@attrs.frozen(slots=True, kw_only=True)
class KeyCheck:
    """Decides from the latest configuration and its age, without asking the store.

    Load pattern: keys are revoked and added while some VMs cannot reach the store, are suspended or
    have just started. The age of a configuration counts from when the latest read was sent that
    showed it to be the newest one. A version that the VM does not know was therefore stored within
    this age, and a limit of the age bounds the time for which a revoked key is accepted, and for
    which an added one is refused.

    Args:
        apply_s: time in which a version must take effect, in seconds; a key that is missing in an
            older configuration may have been added.
        revoke_s: age of the configuration, in seconds, up to which its keys are accepted; None if
            they are accepted at any age.

    Example:
        >>> check = KeyCheck(apply_s=4.0, revoke_s=5.0)
        >>> keys = TeamKeys({"austral": ["k1"]})
        >>> version = Configuration(version=1, queues=(), keys=keys, requires_keys=True)
        >>> queue = Queue(name="q", host="h", path_prefix="/", service="s")
        >>> check.decide(version, queue, "k1", age_s=4.5)
        KeyAccepted(team='austral')
        >>> check.decide(version, queue, "k2", age_s=4.5)
        KeyUndecidable()
    """

    apply_s: float = 2.5
    revoke_s: float | None = None

    @property
    def age_limit_s(self) -> float:
        """Age of the configuration, in seconds, up to which every key can be decided on."""
        return self.apply_s if self.revoke_s is None else min(self.apply_s, self.revoke_s)

    def decide(
        self, configuration: Configuration, queue: Queue, key: str | None, age_s: float
    ) -> KeyDecision:
        """Return the team that a call is served for, or why it is not served.

        Args:
            configuration: latest configuration of this VM.
            queue: queue that the call addresses.
            key: key of the call; None without one.
            age_s: age of the configuration when the call is handled, in seconds.
        """
        if queue.is_public or not configuration.requires_keys:
            return KeyAccepted("")
        team = None if key is None else configuration.keys.find_team(key)
        if team is None:
            return KeyUnknown() if self.can_refuse(configuration, age_s) else KeyUndecidable()
        return KeyAccepted(team) if self.can_accept(configuration, age_s) else KeyUndecidable()

    def can_accept(self, configuration: Configuration, age_s: float) -> bool:
        """Return whether the keys of a configuration of this age are accepted."""
        return not configuration.requires_keys or self.revoke_s is None or age_s <= self.revoke_s

    def can_refuse(self, configuration: Configuration, age_s: float) -> bool:
        """Return whether keys and queues missing in a configuration of this age do not exist."""
        return not configuration.requires_keys or age_s <= self.apply_s
