"""Steps for entries of other writers in the directory of workers."""

import asyncio
import json
from types import SimpleNamespace

import attrs
from behave import given, then, when
from platform_inputs import ENTRY, KeyedStore, encode_with, encode_without
from platform_processes import ROOT  # noqa: F401
from prometheus_client import CollectorRegistry
from workflow_partition_steps import MemoryLog, count_starts
from workflow_support import make_job_record
from workflow_world import WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    Configuration,
    DirectoryChanged,
    Timing,
    VmPresent,
    WorkerDirectory,
)
from fireflywharf_daemon.workflows import PlatformServices, WorkflowDaemon, WorkflowMetrics
from fireflywharf_platform._sources import StoreDirectory

SERVICE = ENTRY["service"]


def make_entry(description):
    """Return the encoded entry that a scenario describes."""
    if description == "4000 opening brackets":
        return b"[" * 4000
    kind, _, rest = description.partition('"')
    name, _, value = rest.partition('" is ')
    match kind.strip():
        case "an entry of service":
            return json.dumps({**ENTRY, "service": name.strip('"'), "born": 9}).encode()
        case "an entry without":
            return encode_without(ENTRY, name.strip('"'))
        case "an entry whose":
            return encode_with(ENTRY, name, value)
    raise ValueError(description)


def start_daemon(context):
    """Create a daemon that reads the directory from a store, without other loops."""
    context.store = KeyedStore()
    context.metrics = WorkflowMetrics(CollectorRegistry())
    directory = StoreDirectory(
        context.store, context.metrics.ignored_entries.labels("unreadable").inc
    )
    context.daemon = WorkflowDaemon(
        VmPresent(vm="a", incarnation="a#1", address=""),
        PlatformServices(
            log=MemoryLog(1), directory=directory, configuration=None, workers=None, approvals=None
        ),
        Timing(),
        context.metrics,
    )
    context.store.put("w-1", json.dumps(ENTRY).encode())


def read_directory(context):
    """Return the workers that the daemon passes to an active scheduler after one read."""
    passed = []

    async def handle_directory(directory):
        passed.append(dict(directory))

    async def run():
        context.daemon.active_scheduler = SimpleNamespace(handle_directory=handle_directory)
        loop = asyncio.ensure_future(context.daemon._directory_loop())
        while not passed:
            await asyncio.sleep(0)
        loop.cancel()

    asyncio.run(run())
    return passed[0]


def apply_services(context, services):
    """Let the daemon read a configuration with some services."""
    version = Configuration(version=1, queues=(), services=frozenset(services))

    async def next_version(known):
        if known is None:
            return version
        await asyncio.sleep(60)
        return None

    async def run():
        source = SimpleNamespace(next_version=next_version, complete_s=0.0)
        context.daemon._platform = attrs.evolve(context.daemon._platform, configuration=source)
        context.daemon.active_scheduler = None
        loop = asyncio.ensure_future(context.daemon._configuration_loop())
        await asyncio.sleep(0.05)
        loop.cancel()

    asyncio.run(run())


@given('a daemon that uses worker "w-1" and has read a configuration with its service')
def create_daemon(context):
    start_daemon(context)
    apply_services(context, [SERVICE])
    context.earlier = read_directory(context)
    assert set(context.earlier) == {"w-1"}


@given('a daemon that has read a configuration without the service of "w-1"')
def create_daemon_without_service(context):
    start_daemon(context)
    apply_services(context, ["other"])


@when('{entry} replaces the entry of "w-1"')
def replace_entry(context, entry):
    context.store.put("w-1", make_entry(entry))
    read_directory(context)


@then('the daemon has the earlier entry of "w-1" and places no new runs there')
def check_earlier_entry(context):
    for _ in range(2):
        shown = read_directory(context)
        assert shown["w-1"] == attrs.evolve(context.earlier["w-1"], suspended=True), shown


@when('the entry of "w-1" is written again with "born" {born:d}')
def write_entry(context, born):
    context.store.put("w-1", json.dumps({**ENTRY, "born": born}).encode())


@then('the daemon has "w-1" with incarnation {born:d}')
def check_incarnation(context, born):
    shown = read_directory(context)["w-1"]
    assert shown.incarnation == born and not shown.suspended, shown


@when('the entry of "w-1" is removed')
def remove_entry(context):
    context.store.put("w-1", b"")


@then("the daemon has no worker")
def check_no_worker(context):
    assert not read_directory(context)


@when('{entry} is written as "{worker_id}"')
def write_other_entry(context, entry, worker_id):
    context.store.put(worker_id, make_entry(entry))


@when('{entry} is written as "{worker_id}" {count:d} times with rising sequence')
def write_entry_repeatedly(context, entry, worker_id, count):
    for number in range(count):
        value = json.loads(make_entry(entry))
        context.store.put(worker_id, json.dumps({**value, "sequence": number}).encode())
        read_directory(context)
        read_directory(context)


@when('a configuration with the service "{service}" only is applied')
def apply_service(context, service):
    apply_services(context, [service])


@when("it reads an accepted job of that service")
def read_job(context):
    record = make_job_record("a")
    assert record.queue.service == SERVICE
    context.daemon.active_scheduler = None
    context.daemon._handle_record(record, 0)


@then('the daemon has the workers "{names}"')
def check_workers(context, names):
    assert sorted(read_directory(context)) == names.split()


@then('{first:d} entry is counted as "{cause}" and {second:d} as "{other}"')
def check_counts(context, first, cause, second, other):
    counter = context.metrics.ignored_entries
    counts = [counter.labels(name)._value.get() for name in (cause, other)]
    assert counts == [first, second], counts


@given("a task at work on one of two workers whose entries a daemon selects")
def start_task(context):
    world = context.world = WorkflowWorld(workers_count=2)
    context.selection = WorkerDirectory()
    context.selection.observe_services(["s"])
    for worker in world.workers.values():
        worker.run_time_s = 60.0
    world.submit("a", [make_step(1)])
    world.run(1.0)
    context.entries = {name: worker.info for name, worker in world.workers.items()}
    context.selection.select(context.entries)


@when(
    'an entry of service "{service}" with a later start stands under the id of that worker '
    "for {seconds:g} s"
)
def show_odd_entry(context, service, seconds):
    world = context.world
    holder = next(worker.info for worker, _, _ in world.iterate_active_runs())
    odd = attrs.evolve(holder, service=service, incarnation=holder.incarnation + 1)
    shown = context.selection.select({**context.entries, holder.worker_id: odd})
    world.scheduler.observe(DirectoryChanged(shown), world.now_s)
    world.run(seconds)
    shown = context.selection.select(context.entries)
    world.scheduler.observe(DirectoryChanged(shown), world.now_s)
    world.run(1.0)


@then("the task has one run")
def check_one_run(context):
    assert count_starts(context.world, "a") == 1
    assert not context.world.violations, context.world.violations
