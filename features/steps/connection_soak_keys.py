"""Keys of the connection soak: who may call at what time, and callers that use all of them."""

import asyncio
import random
import threading
import time
from collections import Counter

import aiohttp
import attrs
from platform_processes import HOST

REVOKE_S, APPLY_S = 5.0, 4.0
"""The bounds `revoke_ms` and `config_apply_ms` of the daemons."""
CHECK_S = 0.1
"""Time that a check may take itself."""
CALL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 12.0
"""Longer than a suspension, so that calls that wait in a socket meanwhile are answered."""
TEAMS_COUNT = 4
PERMANENT_KEY = "key-permanent"
KEY_SETTINGS = {
    "contracts": ["tenants"],
    "bounds": {
        "strict_revocation": True,
        "revoke_ms": int(1000 * REVOKE_S),
        "config_apply_ms": int(1000 * APPLY_S),
    },
}


@attrs.frozen
class KeyChange:
    """A key became valid or invalid at some time between the two, in seconds."""

    before_s: float
    after_s: float
    valid: bool


class KeyRing:
    """Keys of all teams, with the times of their changes.

    Args:
        rng: draws the changes.
    """

    def __init__(self, rng):
        self._rng = rng
        self._changes = {}
        self._keys = {f"team-{number}": [] for number in range(TEAMS_COUNT)}
        self._drawn_count = 0
        for _ in range(2):
            for team in self._keys:
                self._add(team)

    @property
    def known(self):
        """All keys that were ever valid, and one that never was."""
        return [*self._changes, "key-never-valid"]

    def _add(self, team):
        self._drawn_count += 1
        self._keys[team].append(f"key-{self._drawn_count}")

    def change(self):
        """Revoke a key, and add a new one or one that was revoked; return a description."""
        team = self._rng.choice([name for name, keys in self._keys.items() if keys])
        revoked = self._keys[team].pop(self._rng.randrange(len(self._keys[team])))
        earlier = [key for key in self._changes if not self.is_valid(key) and key != revoked]
        if earlier and self._rng.random() < 0.4:
            added = self._rng.choice(earlier)
            self._keys[team].append(added)
        else:
            self._add(team)
            added = self._keys[team][-1]
        return f"{revoked} of {team} is revoked, {added} is added"

    def is_valid(self, key):
        """Return whether a key is in the newest version."""
        return key == PERMANENT_KEY or any(key in keys for keys in self._keys.values())

    def put(self, write):
        """Write a version with the present teams, and record what it changes.

        Args:
            write: function that stores the version with the teams that it is given.
        """
        teams = [{"name": name, "api_keys": keys, "weight": 1} for name, keys in self._keys.items()]
        teams.append({"name": "operators", "api_keys": [PERMANENT_KEY], "weight": 1})
        before_s = time.monotonic()
        write(teams)
        after_s = time.monotonic()
        listed = {key for team in teams for key in team["api_keys"]}
        for key in {*self._changes, *listed}:
            changes = self._changes.setdefault(key, [])
            valid = key in listed
            if not changes or changes[-1].valid != valid:
                changes.append(KeyChange(before_s, after_s, valid))

    def was(self, key, valid, since_s, until_s):
        """Return whether a key was certainly valid, or invalid, all the time between the two."""
        state = False
        for change in list(self._changes.get(key, ())):
            if change.after_s <= since_s:
                state = change.valid
            elif change.before_s < until_s and change.valid != valid:
                return False
        return state == valid


class KeyCallers:
    """Calls every daemon with every key from a thread, and checks the answers.

    Args:
        ring: the keys.
        daemons: the daemons.
        path: path of a queue that is never dropped.
        seed: seed of the order of the keys.

    Attributes:
        breaches: answers that a rule forbids.
        statuses: number of calls by status, or kind of error, and state of the key.
    """

    def __init__(self, ring, daemons, path, seed):
        self.ring, self.daemons, self.path = ring, daemons, path
        self.breaches, self.statuses = [], Counter()
        self._rng = random.Random(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)

    def start(self):
        """Start calling."""
        self._thread.start()

    def stop(self):
        """Wait for all answers and stop."""
        self._stopping.set()
        self._thread.join(2 * CALL_TIMEOUT_S)

    async def _run(self):
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        async with session, asyncio.TaskGroup() as group:
            while not self._stopping.is_set():
                for daemon in self.daemons:
                    key = self._rng.choice(self.ring.known)
                    group.create_task(self._call(session, daemon, key))
                await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, session, daemon, key):
        url = f"http://127.0.0.1:{daemon.callers_port}{self.path}"
        headers = {"Host": HOST, "Authorization": f"Bearer {key}"}
        sent_s = time.monotonic()
        try:
            async with session.get(url, headers=headers) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            status = type(error).__name__
        self._check(daemon, key, status, sent_s, time.monotonic())

    def _check(self, daemon, key, status, sent_s, answered_s):
        valid = self.ring.was(key, True, sent_s - APPLY_S - CHECK_S, answered_s)
        revoked = self.ring.was(key, False, sent_s - REVOKE_S, answered_s)
        state = "valid" if valid else "revoked" if revoked else "changing"
        self.statuses[f"{state} {status}"] += 1
        text = f"{daemon.name} answers {status} to {key}, {state}, sent at {sent_s:.3f}"
        if revoked and status == 200:
            self.breaches.append(f"REVOKED: {text}")
        if valid and status in (401, 404):
            self.breaches.append(f"VALID KEY: {text}")
