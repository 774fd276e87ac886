"""A VM that checks keys of callers, with a virtual clock, a store and a journal in memory."""

import asyncio
import json
import time
import unittest.mock
from types import SimpleNamespace

from multidict import CIMultiDict
from platform_inputs import KeyedStore
from prometheus_client import CollectorRegistry

from fireflywharf_core.workflows import JournalState, KeyCheck, encode_record
from fireflywharf_daemon.workflows import (
    Appended,
    CallForwarder,
    ReadFailed,
    ReadRecords,
    WorkflowMetrics,
    WorkflowService,
)
from fireflywharf_platform._entry import EntryServer
from fireflywharf_platform._sources import StoreConfiguration

HOST = "queue.example"
JOB_ID = "00000000000000aa"
JOB = b'{"spec": "x", "steps": [{"count": 1, "cpu": 500}]}'
QUEUE_NAMES = ("jobs", "public")


class HeldStore(KeyedStore):
    """Store that holds reads, in virtual time, while there is nothing new.

    Args:
        world: world with the clock.

    Attributes:
        fault: `answers`, or how reads fail.
        held_s: time for which the latest read was held, in seconds.
        on_hold: called after the answer to a held read was determined.
    """

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.fault = "answers"
        self.held_s = 0.0
        self.on_hold = lambda: None

    async def newest_named(self, name, part=0):
        """Return the newest record of every key, unless there is a fault."""
        if self.fault != "answers":
            return ReadFailed(self.fault)
        return await super().newest_named(name, part)

    async def read_named(self, name, offset, *, wait_s, max_kb=1024):
        """Return the records from an offset on, after `wait_s` if there are none.

        Every record counts as larger than the least limit of an answer.
        """
        self.held_s = 0.0
        match self.fault:
            case "answers":
                answer = await super().read_named(name, offset)
                if not answer.rows and wait_s:
                    self.held_s = wait_s
                    self.world.now_s += wait_s
                    self.on_hold()
                return ReadRecords(answer.end, answer.rows[:1] if max_kb == 1 else answer.rows)
            case "truncates reads":
                return ReadRecords(len(self.rows), ())
            case "loses the end of its topics":
                return ReadRecords(0, ())
        return ReadFailed(self.fault)


class MemoryJournal:
    """Journal in memory, in the place of the reader, the submissions and the appender."""

    is_current = True
    is_down = False
    age_s = 0.0
    outage_s = 0.0

    def __init__(self):
        self.journal_state = JournalState()
        self.rows = []

    def put_record(self, record, deadline_s=0.0):
        """Append and apply a record; return a future that is done."""
        self.rows.append(encode_record(record))
        self.journal_state.apply(len(self.rows), *self.rows[-1], now_s=0.0)
        future = asyncio.Future(loop=asyncio.new_event_loop())
        if asyncio._get_running_loop() is not None:
            future = asyncio.get_running_loop().create_future()
        future.set_result(Appended(len(self.rows)))
        return future

    async def refresh(self, timeout_s):
        """Return that all records are read."""
        return True

    async def catch_up(self, key, timeout_s):
        """Return that all records are read."""
        return True


class KeyWorld:
    """One VM.

    Args:
        context: context of the scenario, for the cleanup.
        check: check of the VM.
        requires_keys: whether its settings require keys.
    """

    def __init__(self, context, check, requires_keys=True):
        self.now_s = 1000.0
        read_clock = time.clock_gettime
        patch = unittest.mock.patch.object(
            time,
            "clock_gettime",
            lambda clock: self.now_s if clock == time.CLOCK_BOOTTIME else read_clock(clock),
        )
        patch.start()
        context.add_cleanup(patch.stop)
        self.store = HeldStore(self)
        self.source = StoreConfiguration(
            self.store, requires_keys=requires_keys, age_limit_s=check.age_limit_s
        )
        self.journal = MemoryJournal()
        self.metrics = WorkflowMetrics(CollectorRegistry())
        self.service = WorkflowService(
            self.journal,
            self.journal,
            self.journal,
            lambda record: None,
            lambda record, offset: None,
            self.metrics,
            check,
        )
        forwarder = CallForwarder("vm-0", dict, lambda: True, self.metrics)
        self.entry = EntryServer(self.service, self.metrics.registry, forwarder)
        self.answers = []

    def put_version(self, version, teams):
        """Store a version with these teams; None for a version without the field."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "service": "s",
                "public": name == "public",
            }
            for name in QUEUE_NAMES
        ]
        content = {"version": version, "routes": routes}
        if teams is not None:
            content["tenants"] = teams
        self.store.put("config", json.dumps(content).encode())

    def read(self):
        """Read the configuration once, as the loop of the daemon does."""
        newer = asyncio.run(self.source.next_version(self.service.configuration))
        self.service.apply_configuration(newer, self.source.complete_s)

    def call(self, key, path="/jobs/", method="GET", body=JOB, scheme="Bearer"):
        """Send a call to the entry server and return the status of its answer."""

        async def read():
            return body

        headers = CIMultiDict(Host=f"{HOST}:80")
        if key is not None:
            headers["Authorization"] = f"{scheme} {key}".strip()
        request = SimpleNamespace(headers=headers, path=path, method=method, read=read)
        response = asyncio.run(self.entry._serve_caller(request))
        self.answers.append(response)
        if response.status == 401:
            assert response.headers["WWW-Authenticate"] == "Bearer"
        if response.status == 503:
            assert int(response.headers["Retry-After"]) >= 1
        return response.status


def make_teams(text):
    """Return the teams of a text such as `k1 of austral, k2 of boreal`."""
    teams = {}
    for row in filter(None, text.split(", ")):
        key, _, name = row.partition(" of ")
        teams.setdefault(name, []).append(key)
    return [{"name": name, "api_keys": keys, "weight": 1} for name, keys in teams.items()]


def make_check(strict=True):
    """Return the check of a VM with a bound of 5 s for revocations, or without one."""
    return KeyCheck(apply_s=4.0, revoke_s=5.0 if strict else None)
