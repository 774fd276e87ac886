"""Steps for the reading of the operators' configuration."""

import asyncio
import json
import time

from behave import given, then, when

from fireflywharf_daemon.workflows import LogRecord, ReadRecords
from fireflywharf_platform._sources import StoreConfiguration

FIRST_VERSION_BYTES = 400_000


class TimedStore:
    """Store whose records appear at set times, read over a link of limited bandwidth."""

    def __init__(self, rows, link_mbps):
        self.rows = rows
        self.link_mbps = link_mbps
        self.started_s = time.monotonic()
        self.read_bytes = 0

    def find_visible(self):
        """Return the records that have appeared."""
        elapsed_s = time.monotonic() - self.started_s
        return [record for at_s, record in self.rows if at_s <= elapsed_s]

    async def _transfer(self, records):
        size = sum(len(record.value) for record in records)
        self.read_bytes += size
        await asyncio.sleep(size * 8e-6 / self.link_mbps)

    async def read_named(self, name, offset, *, wait_s, max_kb=1024):
        """Return at least one record, and further ones up to `max_kb`."""
        limit_s = time.monotonic() + wait_s
        while len(self.find_visible()) <= offset and time.monotonic() < limit_s:
            await asyncio.sleep(0.01)
        visible = self.find_visible()
        rows = []
        for number in range(offset, len(visible)):
            size = sum(len(record.value) for _, record in rows)
            if rows and size + len(visible[number].value) > 1024 * max_kb:
                break
            rows.append((number, visible[number]))
        await self._transfer([record for _, record in rows])
        return ReadRecords(len(visible), tuple(rows))

    async def newest_named(self, name):
        """Return the newest record of every key."""
        visible = self.find_visible()
        newest = {record.key: (number, record) for number, record in enumerate(visible)}
        await self._transfer([record for _, record in newest.values()])
        return ReadRecords(len(visible), tuple(newest.values()))


def make_version(number):
    """Return the record of a configuration that is padded with an unused field."""
    content = {"version": number, "routes": [], "padding": "x" * FIRST_VERSION_BYTES}
    return LogRecord("config", json.dumps(content).encode())


@given(
    "a store that receives {count:d} versions of 400 kB within {seconds:g} s,"
    " {others:d} other records between"
)
def plan_versions(context, count, seconds, others):
    rows = [(0.0, make_version(1))]
    for number in range(count):
        at_s = 0.3 + (number + 1) * (seconds - 0.3) / count if count > 1 else 0.3
        rows.append((at_s, make_version(number + 2)))
        if number < others:
            rows.append((at_s, LogRecord(f"wave/{number}", b"{}")))
    context.rows = rows
    context.newest_version = count + 1


@when("a VM with a link of {link_mbps:g} Mbit/s reads the configuration for {seconds:g} s")
def read_configuration(context, link_mbps, seconds):
    async def run():
        context.store = TimedStore(context.rows, link_mbps)
        source = StoreConfiguration(context.store, link_mbps)
        context.known = None
        try:
            async with asyncio.timeout(seconds):
                while True:
                    context.known = await source.next_version(context.known) or context.known
        except TimeoutError:
            pass

    asyncio.run(run())


@then("it has read at most {most:d} versions and knows the newest one")
def check_versions(context, most):
    assert context.known.version == context.newest_version, context.known.version
    versions = context.store.read_bytes / FIRST_VERSION_BYTES
    assert versions <= most + 0.1, versions
