"""Steps for the checks of the history of a run."""

import attrs
from behave import given, then, when

from fireflywharf_core.history import (
    AppendDone,
    AttemptEnded,
    AttemptResized,
    AttemptStarted,
    ContractApplied,
    ContractSeen,
    EntryVmDown,
    EntryVmUp,
    History,
    JobAcceptedSeen,
    JobStateSeen,
    LeaseGranted,
    Promise,
    RequestAnswered,
    RequestEnded,
    RequestSent,
    RequestStarted,
    ShutdownFinished,
    ShutdownRequested,
    StartRefused,
    VmAdded,
    VmDied,
    VmLeaving,
    check_fair_share,
    check_history,
    record_from_json,
    record_to_json,
)
from fireflywharf_core.jobs import AttemptId, TaskId
from fireflywharf_core.resources import ResourceVector

CAPACITY = ResourceVector(1000, 1000)
WEIGHTS = {"austral": 2.0, "boreal": 1.0}


def make_attempt_id(job, index=0, number=1):
    return AttemptId(TaskId(job, index), number)


def make_started(time_s, name, worker="w1", size=400):
    return AttemptStarted(
        time_s=time_s,
        worker=worker,
        attempt=name,
        size=ResourceVector(size, size),
        capacity=CAPACITY,
    )


def make_ended(time_s, name, worker="w1", end="succeeded"):
    return AttemptEnded(time_s=time_s, worker=worker, attempt=name, end=end)


def make_call(
    name, sent_s, answered_s, outcome="completed", operation="", vm="e1", idempotent=False
):
    sent = RequestSent(
        time_s=sent_s,
        call=name,
        operation=operation or name,
        entry_vm=vm,
        idempotent=idempotent,
        body_digest=name,
    )
    echoed = name if outcome == "completed" else ""
    answer = RequestAnswered(time_s=answered_s, call=name, outcome=outcome, echoed_digest=echoed)
    return [sent, answer]


def make_execution(number, operation, start_s, end_s, target="t1", completed=True):
    return [
        RequestStarted(
            time_s=start_s,
            target=target,
            execution=number,
            request_id=f"r{number}",
            operation=operation,
            slots_count=2,
        ),
        RequestEnded(
            time_s=end_s,
            target=target,
            execution=number,
            request_id=f"r{number}",
            completed=completed,
        ),
    ]


def make_accepted(time_s, job, customer="austral", **fields):
    return JobAcceptedSeen(time_s=time_s, job_id=job, customer=customer, **fields)


def make_job_state(time_s, job, state, late=False):
    return JobStateSeen(time_s=time_s, job_id=job, state=state, late=late)


def make_contract_seen(time_s, vm, version):
    return ContractSeen(time_s=time_s, entry_vm=vm, customer="austral", version=version)


def make_clean_jobs():
    """Return records of jobs: restarted after a lease lapse, reported as late, and cancelled."""
    return [
        make_accepted(1.0, "j1", tasks_count=2, deadline_s=20.0),
        make_started(2.0, make_attempt_id("j1", 0)),
        make_started(2.0, make_attempt_id("j1", 1)),
        make_ended(5.0, make_attempt_id("j1", 0), end="lease_lapsed"),
        make_started(5.0, make_attempt_id("j1", 0, 2), worker="w2"),
        AttemptResized(
            time_s=6.0,
            worker="w2",
            attempt=make_attempt_id("j1", 0, 2),
            size=ResourceVector(200, 400),
        ),
        make_ended(9.0, make_attempt_id("j1", 1)),
        make_ended(9.0, make_attempt_id("j1", 0, 2), worker="w2"),
        make_job_state(10.0, "j1", "done"),
        make_accepted(1.0, "j2", deadline_s=5.0),
        make_started(9.0, make_attempt_id("j2"), size=600),
        make_job_state(9.5, "j2", "running", late=True),
        make_ended(12.0, make_attempt_id("j2")),
        make_job_state(13.0, "j2", "done", late=True),
        make_accepted(1.0, "j3", restartable=False),
        make_started(12.0, make_attempt_id("j3"), worker="w2"),
        make_job_state(14.0, "j3", "cancelled"),
        make_ended(14.0, make_attempt_id("j3"), worker="w2", end="stopped"),
        make_accepted(1.0, "j4"),
        make_job_state(40.0, "j4", "waiting", late=True),
        make_started(15.0, make_attempt_id("j5"), worker="w3"),
        make_ended(16.0, make_attempt_id("j5"), worker="w3"),
        VmDied(time_s=16.5, vm="w3"),
        make_started(17.0, make_attempt_id("j5", 0, 2), worker="w1"),
        make_ended(18.0, make_attempt_id("j5", 0, 2)),
    ]


def make_clean_requests():
    """Return records of calls with every outcome, and of leaving, killed and stopped VMs."""
    return [
        *make_call("c1", 1.0, 2.0),
        *make_execution(1, "c1", 1.2, 1.9),
        *make_call("c2", 1.0, 2.0, "not_run"),
        *make_call("c3", 1.0, 3.0, idempotent=True),
        *make_execution(2, "c3", 1.1, 2.9, completed=False),
        *make_execution(3, "c3", 2.0, 2.8),
        *make_call("c4", 4.0, 5.0, "unknown"),
        *make_execution(4, "c4", 4.1, 6.0),
        *make_call("c5", 7.0, 7.5, "not_run", operation="o5", idempotent=True),
        *make_call("c6", 8.0, 9.0, operation="o5", idempotent=True),
        *make_execution(5, "o5", 8.1, 8.9),
        VmLeaving(time_s=10.0, vm="t2"),
        *make_call("c7", 12.0, 13.5),
        *make_execution(1, "c7", 12.9, 13.4, target="t2"),
        *make_call("c8", 20.0, 21.0, "lost", vm="e3"),
        *make_call("c13", 20.4, 20.45, "lost", vm="e3"),
        EntryVmDown(time_s=20.5, since_s=20.3, entry_vm="e3", killed=True),
        *make_call("c9", 24.0, 26.0, vm="e2"),
        *make_execution(6, "c9", 24.1, 25.9),
        *make_call("c12", 22.0, 23.0, "unknown", vm="e2"),
        ShutdownRequested(time_s=25.0, entry_vm="e2"),
        *make_call("c10", 25.5, 25.6, "lost", vm="e2"),
        ShutdownFinished(time_s=26.5, entry_vm="e2", exit_status=0),
    ]


def make_clean_contracts():
    """Return records of two contract versions at three entry VMs, two of them with outages."""
    return [
        *(EntryVmUp(time_s=0.5, entry_vm=vm) for vm in ("e1", "e2", "e3")),
        EntryVmDown(time_s=27.0, entry_vm="e2"),
        EntryVmUp(time_s=35.0, entry_vm="e3"),
        ContractApplied(time_s=2.0, customer="austral", version=1),
        ContractApplied(time_s=22.0, customer="austral", version=2),
        *(make_contract_seen(1.0, vm, 0) for vm in ("e1", "e2", "e3")),
        *(make_contract_seen(11.5, vm, 1) for vm in ("e1", "e2", "e3")),
        make_contract_seen(30.0, "e1", 2),
        make_contract_seen(36.0, "e3", 1),
        make_contract_seen(44.0, "e3", 2),
    ]


def make_clean_records():
    return [
        VmAdded(time_s=0.1, vm="w1"),
        LeaseGranted(time_s=0.2, vm="w1", holder="e1", epoch=1),
        AppendDone(
            time_s=0.3, stream="jobs", writer="e1", sequence=0, first_offset=0, records_count=1
        ),
        StartRefused(time_s=3.0, worker="w1", attempt=make_attempt_id("j9"), reason="no_room"),
        *make_clean_jobs(),
        *make_clean_requests(),
        *make_clean_contracts(),
    ]


def make_share_records(run_times_s):
    """Return records of customers with waiting jobs for 60 s, each with a worker of its own.

    Args:
        run_times_s: start and end of the run of each customer, in seconds.
    """
    records = []
    for customer, (start_s, end_s) in run_times_s.items():
        name = make_attempt_id(f"run-{customer}")
        records += [
            make_accepted(0.0, f"run-{customer}", customer),
            make_started(start_s, name, worker=customer, size=1000),
            make_ended(end_s, name, worker=customer),
            make_accepted(0.0, f"wait-{customer}", customer),
            make_job_state(61.0, f"wait-{customer}", "cancelled"),
        ]
    return records


def make_request_share_records(run_times_s):
    """Return records of customers with a waiting request for 60 s.

    Args:
        run_times_s: start and end of the execution of each customer, in seconds.
    """
    records = []
    for index, (customer, (start_s, end_s)) in enumerate(run_times_s.items()):
        for name in (f"run-{customer}", f"wait-{customer}"):
            sent, answer = make_call(name, 0.0, 61.0, "completed" if "run" in name else "not_run")
            records += [attrs.evolve(sent, customer=customer), answer]
        records += make_execution(100 + index, f"run-{customer}", start_s, end_s)
    return records


FAIR_RUN_TIMES_S = {"austral": (0.0, 40.0), "boreal": (0.0, 20.0)}
EQUAL_RUN_TIMES_S = {"austral": (0.0, 30.0), "boreal": (0.0, 30.0)}


def remove_records(records, **fields):
    """Return the records without those whose fields all match."""

    def matches(record):
        return all(getattr(record, name, None) == value for name, value in fields.items())

    remaining = [record for record in records if not matches(record)]
    assert len(remaining) < len(records), fields
    return remaining


def replace_outcome(records, name, **changes):
    """Return the records with changed fields in the answer of a call."""
    return [
        (
            attrs.evolve(record, **changes)
            if isinstance(record, RequestAnswered) and record.call == name
            else record
        )
        for record in records
    ]


VIOLATION_INJECTORS = {
    "a start beyond the capacity": lambda r: r
    + [make_started(2.5, make_attempt_id("j6"), size=201)],
    "a resize beyond the capacity": lambda r: r
    + [
        AttemptResized(
            time_s=3.0, worker="w1", attempt=make_attempt_id("j1", 0), size=ResourceVector(601, 0)
        )
    ],
    "a request beyond the slots": lambda r: r + make_execution(7, "c3", 2.1, 2.5),
    "a second attempt while the first runs": lambda r: r
    + [make_started(4.9, make_attempt_id("j1", 0, 2), worker="w4")],
    "an answer to another request": lambda r: replace_outcome(r, "c1", echoed_digest="c3"),
    "two answers to one call": lambda r: r + make_call("c1", 1.0, 2.1)[1:],
    "a call without an answer": lambda r: remove_records(r, call="c4", outcome="unknown"),
    "a lost call without a kill": lambda r: replace_outcome(r, "c4", outcome="lost"),
    "a call lost before the kill": lambda r: r + make_call("c14", 20.0, 20.25, "lost", vm="e3"),
    "a call lost after the kill": lambda r: r + make_call("c14", 20.55, 20.6, "lost", vm="e3"),
    "an execution of a call reported as not run": lambda r: r + make_execution(8, "c2", 1.95, 1.99),
    "an execution of a call reported as not run before its repeat": lambda r: r
    + make_execution(8, "o5", 7.2, 7.4),
    "a second execution of a non-idempotent call": lambda r: r + make_execution(9, "c4", 8.0, 8.5),
    "a start 3.1 s after leaving": lambda r: r
    + make_call("c11", 13.0, 13.5)
    + make_execution(2, "c11", 13.1, 13.4, target="t2"),
    "a call unknown after SIGTERM": lambda r: replace_outcome(r, "c9", outcome="unknown"),
    "an exit status of 51": lambda r: r
    + [ShutdownFinished(time_s=50.0, entry_vm="e9", exit_status=51)],
    "an outdated version shown after 10.5 s": lambda r: remove_records(r, entry_vm="e1", version=2)
    + [make_contract_seen(32.5, "e1", 1), make_contract_seen(33.0, "e1", 2)],
    "a version that decreases": lambda r: r + [make_contract_seen(31.0, "e1", 1)],
    "a version that is never shown": lambda r: remove_records(r, entry_vm="e1", version=2),
    "a job that never ends": lambda r: r
    + [make_accepted(1.0, "j7"), make_job_state(40.0, "j7", "running")],
    "a job reported as done without a successful task": lambda r: r
    + [make_accepted(1.0, "j7"), make_job_state(40.0, "j7", "done")],
    "a late job without a report": lambda r: [
        (
            attrs.evolve(record, late=False)
            if isinstance(record, JobStateSeen) and record.job_id == "j2"
            else record
        )
        for record in r
    ],
    "an end state that changes": lambda r: r + [make_job_state(20.0, "j3", "running")],
    "a start after success": lambda r: r
    + [
        make_started(30.0, make_attempt_id("j1", 1, 2)),
        make_ended(31.0, make_attempt_id("j1", 1, 2)),
    ],
    "a second start of a task that is not restartable": lambda r: r
    + [
        make_started(30.0, make_attempt_id("j3", 0, 2)),
        make_ended(31.0, make_attempt_id("j3", 0, 2)),
    ],
}


@given("a clean history")
def create_clean_history(context):
    context.records = make_clean_records()
    context.share_records = make_share_records(FAIR_RUN_TIMES_S)
    context.request_share_records = make_request_share_records(FAIR_RUN_TIMES_S)


@when('"{kind}" is injected')
def inject_violation(context, kind):
    match kind:
        case "equal service at weights of two to one":
            context.share_records = make_share_records(EQUAL_RUN_TIMES_S)
        case "equal request service at two to one":
            context.request_share_records = make_request_share_records(EQUAL_RUN_TIMES_S)
        case _:
            context.records = VIOLATION_INJECTORS[kind](context.records)


def find_violations(context):
    return [
        *check_history(History(context.records)),
        *check_fair_share(History(context.share_records), WEIGHTS, total=CAPACITY),
        *check_fair_share(History(context.request_share_records), WEIGHTS),
    ]


@then("no check reports a violation")
def check_clean(context):
    assert find_violations(context) == [], find_violations(context)


@then('only a violation of "{promise}" is reported')
def check_only_violation(context, promise):
    violations = find_violations(context)
    assert {violation.promise for violation in violations} == {Promise[promise]}, violations


@then("every record of a clean history equals its decoded JSON line")
def check_codec(context):
    for record in make_clean_records():
        assert record_from_json(record_to_json(record)) == record, record


@then("a line of an unknown type is rejected")
def check_unknown_line(context):
    for line in ('{"type": "Other"}', "[]", '{"type": "VmAdded", "time_s": "x"}', "{"):
        try:
            record_from_json(line)
        except ValueError:
            continue
        raise AssertionError(f"an invalid line was accepted: {line}")
