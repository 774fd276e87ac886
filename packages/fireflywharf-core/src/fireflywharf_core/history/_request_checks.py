"""Checks of requests: own answers, true refusals, at most one execution, leaving, shutdown."""

import math
from collections import defaultdict

import attrs

from ._effects import RequestEnded, RequestStarted, VmAdded, VmLeaving
from ._history import History
from ._observations import (
    EntryVmDown,
    RequestAnswered,
    RequestSent,
    ShutdownFinished,
    ShutdownRequested,
)
from ._violation import Promise, Violation

LEAVING_GRACE_S = 3.0
# A request that left its caller this shortly before SIGTERM may not have reached the daemon.
SIGTERM_SETTLE_S = 0.1


@attrs.define
class _CallSummary:
    sent: RequestSent
    answers: list[RequestAnswered] = attrs.field(factory=list)

    @property
    def outcome(self) -> str:
        return self.answers[0].outcome if self.answers else ""

    @property
    def answered_s(self) -> float:
        return self.answers[0].time_s if self.answers else math.inf


def _calls(history: History) -> dict[str, _CallSummary]:
    calls = {record.call: _CallSummary(record) for record in history.of_type(RequestSent)}
    for record in history.of_type(RequestAnswered):
        if record.call in calls:
            calls[record.call].answers.append(record)
    return calls


def _executions(history: History) -> dict[str, list[RequestStarted]]:
    executions: dict[str, list[RequestStarted]] = defaultdict(list)
    for record in history.of_type(RequestStarted):
        executions[record.operation].append(record)
    return executions


def _loss_excused(call: _CallSummary, history: History) -> bool:
    """Return whether the entry VM of a lost call was killed, or was already shutting down."""
    sent_s, vm = call.sent.time_s, call.sent.entry_vm
    killed = any(
        record.killed
        and record.entry_vm == vm
        and sent_s <= record.time_s
        and (record.time_s if record.since_s is None else record.since_s) <= call.answered_s
        for record in history.of_type(EntryVmDown)
    )
    stopping = any(
        record.entry_vm == vm and record.time_s - SIGTERM_SETTLE_S < sent_s
        for record in history.of_type(ShutdownRequested)
    )
    return killed or stopping


def check_own_answer(history: History) -> list[Violation]:
    """Return a violation for each call without exactly one whole answer to its own body.

    A broken connection is allowed when the entry VM was killed during the call, or was told to stop
    before the call.
    """
    violations = []
    for name, call in _calls(history).items():
        problem = ""
        if not call.answers:
            problem = "has no answer"
        elif len(call.answers) > 1:
            problem = f"has {len(call.answers)} answers"
        elif call.outcome == "lost" and not _loss_excused(call, history):
            problem = "lost its connection to an entry VM that was not killed"
        elif call.outcome == "completed":
            echoed = call.answers[0].echoed_digest
            if echoed != call.sent.body_digest:
                problem = f"got an answer to another body ({echoed or 'not readable'})"
        if problem:
            detail = f"call {name} to {call.sent.entry_vm} {problem}"
            time_s = call.answered_s if call.answers else call.sent.time_s
            violations.append(Violation(Promise.OWN_ANSWER, detail, time_s))
    return violations


def check_not_run(history: History) -> list[Violation]:
    """Return a violation for each execution that only calls told "not run" can explain."""
    violations = []
    by_operation: dict[str, list[_CallSummary]] = defaultdict(list)
    for call in _calls(history).values():
        by_operation[call.sent.operation].append(call)
    for operation, executions in _executions(history).items():
        calls = by_operation.get(operation, [])
        for execution in executions:
            earlier = [call for call in calls if call.sent.time_s <= execution.time_s]
            if earlier and all(call.outcome == "not_run" for call in earlier):
                names = ", ".join(call.sent.call for call in earlier)
                detail = f"{execution.target} ran {operation}, but not run was told to {names}"
                violations.append(Violation(Promise.NOT_RUN, detail, execution.time_s))
    return violations


def check_at_most_once(history: History) -> list[Violation]:
    """Return a violation for each further execution of a non-idempotent operation."""
    once = {record.operation for record in history.of_type(RequestSent) if not record.idempotent}
    violations = []
    for operation, executions in _executions(history).items():
        if operation not in once:
            continue
        for number, execution in enumerate(executions[1:], start=2):
            detail = f"execution {number} of {operation} on {execution.target}"
            violations.append(Violation(Promise.AT_MOST_ONCE, detail, execution.time_s))
    return violations


def check_leaving(history: History, grace_s: float = LEAVING_GRACE_S) -> list[Violation]:
    """Return a violation for each request that starts on a target too long after it left."""
    violations = []
    left_s: dict[str, float] = {}
    for record in history.records:
        match record:
            case VmLeaving():
                left_s.setdefault(record.vm, record.time_s)
            case VmAdded():
                left_s.pop(record.vm, None)
            case RequestStarted() if record.time_s > left_s.get(record.target, math.inf) + grace_s:
                after_s = record.time_s - left_s[record.target]
                detail = (
                    f"{record.target} started {record.request_id} {after_s:.2f} s after leaving"
                )
                violations.append(Violation(Promise.LEAVING, detail, record.time_s))
    return violations


def _died_operations(history: History) -> set[str]:
    """Return the operations with an execution that its target did not complete."""
    cut = {
        (record.target, record.execution)
        for record in history.of_type(RequestEnded)
        if not record.completed
    }
    return {
        record.operation
        for record in history.of_type(RequestStarted)
        if (record.target, record.execution) in cut
    }


def check_shutdown(history: History) -> list[Violation]:
    """Return a violation for each request in progress at SIGTERM that was cut.

    An unknown outcome counts as cut unless the target died during the execution. An exit status
    other than zero is a violation, too.
    """
    violations = []
    calls = list(_calls(history).values())
    died = _died_operations(history)
    for stop in history.of_type(ShutdownRequested):
        for call in calls:
            in_progress = (
                call.sent.entry_vm == stop.entry_vm
                and call.sent.time_s <= stop.time_s - SIGTERM_SETTLE_S
                and call.answered_s > stop.time_s
            )
            cut = call.outcome in ("", "lost") or (
                call.outcome == "unknown" and call.sent.operation not in died
            )
            if in_progress and cut:
                detail = f"{stop.entry_vm} cut call {call.sent.call}: {call.outcome or 'no answer'}"
                violations.append(Violation(Promise.SHUTDOWN, detail, stop.time_s))
    for end in history.of_type(ShutdownFinished):
        if end.exit_status != 0:
            detail = f"{end.entry_vm} exited with status {end.exit_status}"
            violations.append(Violation(Promise.SHUTDOWN, detail, end.time_s))
    return violations
