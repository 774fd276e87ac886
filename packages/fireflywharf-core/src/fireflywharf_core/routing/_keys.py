"""Request keys (idempotency keys) issued by entry VMs.

The entry VM that issued a key executes its requests, so repeats are recognised without the log.
"""

import hashlib
import hmac
import random
import re
from dataclasses import dataclass

ISSUED_KEY_PREFIX = "k1."
_TAG_BYTES = 12
_SECRET_BITS = 256
_INCARNATION = re.compile(r"(.+?)([^0-9A-Za-z]?)([0-9A-Za-z]+)")
_KEY = re.compile(r"k1\.(.+)\.([0-9A-Za-z]+)\.([0-9]{1,16})\.([0-9]{1,16})\.([0-9a-f]+)")


@dataclass(frozen=True, slots=True)
class OwnKey:
    """The key was issued by this incarnation and has not expired.

    Attributes:
        expires_s: time at which the key expires.
        number: number of the key, unique in this incarnation.
    """

    expires_s: float
    number: int


@dataclass(frozen=True, slots=True)
class OtherKey:
    """The key names another incarnation as issuer; only that one can verify it."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class InvalidKey:
    """The key is malformed, expired, forged or was issued to another customer."""

    reason: str


KeyOrigin = OwnKey | OtherKey | InvalidKey


class KeyIssuer:
    """Issues keys whose requests only this incarnation may execute, and verifies keys.

    A key carries an authentication tag computed with a secret of this incarnation, so no state is
    kept for a key until it is used.

    Args:
        incarnation: own incarnation; ends in letters and digits after a separator.
        rng: source of the secret; `random.SystemRandom` in a daemon.
        lifetime_s: validity of a key.

    Example:
        >>> keys = KeyIssuer("entry-1.9f", random.Random(1), 60.0)
        >>> keys.check(keys.issue("austral", 1, now_s=5.0)[0], "austral", now_s=6.0)
        OwnKey(expires_s=65.0, number=1)
    """

    def __init__(self, incarnation: str, rng: random.Random, lifetime_s: float) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.lifetime_s = lifetime_s
        self._secret = rng.getrandbits(_SECRET_BITS).to_bytes(_SECRET_BITS // 8, "big")
        self._number = 0
        match = _INCARNATION.fullmatch(incarnation)
        self._vm, self._separator, self.suffix = match.groups() if match else (incarnation, "", "")

    def issue(self, customer: str, count: int, now_s: float) -> list[str]:
        """Return new keys for a customer.

        Args:
            customer: customer that may use the keys.
            count: number of keys.
            now_s: present time.

        Returns:
            The keys.

        Raises:
            ValueError: the incarnation does not end in letters or digits.
        """
        if not self.suffix:
            raise ValueError(f"incarnation {self.incarnation!r} does not end in letters or digits")
        expiry_ms = int((now_s + self.lifetime_s) * 1000)
        keys = []
        for _ in range(count):
            self._number += 1
            unsigned_key = f"{ISSUED_KEY_PREFIX}{self._vm}.{self.suffix}.{expiry_ms}.{self._number}"
            keys.append(f"{unsigned_key}.{self._tag(customer, unsigned_key)}")
        return keys

    def check(self, key: str, customer: str, now_s: float) -> KeyOrigin:
        """Verify a key and return which incarnation issued it.

        Args:
            key: key that starts with `k1.`.
            customer: customer that uses it.
            now_s: present time.

        Returns:
            `OwnKey` if this incarnation issued it, `OtherKey` if it names another one, or
            `InvalidKey` with the reason.
        """
        match = _KEY.fullmatch(key)
        if match is None:
            return InvalidKey("the key is not of the form k1.VM.INCARNATION.EXPIRY.NUMBER.TAG")
        vm, suffix, expiry_ms, number, tag = match.groups()
        if (vm, suffix) != (self._vm, self.suffix):
            return OtherKey(f"{vm}{self._separator}{suffix}")
        unsigned_key = key[: -len(tag) - 1]
        if not hmac.compare_digest(tag, self._tag(customer, unsigned_key)):
            return InvalidKey("the key was not issued to this customer by this entry VM")
        expires_s = int(expiry_ms) / 1000
        if now_s >= expires_s:
            return InvalidKey("the key has expired")
        return OwnKey(expires_s, int(number))

    def is_earlier_incarnation(self, incarnation: str) -> bool:
        """Return whether `incarnation` is another and therefore earlier incarnation of this VM."""
        match = _INCARNATION.fullmatch(incarnation)
        return bool(match) and match[1] == self._vm and match[3] != self.suffix

    def _tag(self, customer: str, unsigned_key: str) -> str:
        data = f"{customer}\n{unsigned_key}".encode()
        return hashlib.blake2b(data, key=self._secret, digest_size=_TAG_BYTES).hexdigest()
