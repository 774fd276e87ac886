"""Checks of requests: answers, refusals, repeated executions, leaving targets, shutdown."""

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
# A request sent this shortly before SIGTERM may not have reached the daemon.
SIGTERM_RACE_WINDOW_S = 0.1


@attrs.define
class _CallSummary:
    """A call and its answers; a correct call has exactly one answer."""

    sent: RequestSent
    answers: list[RequestAnswered] = attrs.field(factory=list)

    @property
    def outcome(self) -> str:
        """Return the outcome of the first answer; empty without an answer."""
        return self.answers[0].outcome if self.answers else ""

    @property
    def answered_s(self) -> float:
        """Return the time of the first answer; infinity without an answer."""
        return self.answers[0].time_s if self.answers else math.inf


def _summarize_calls(history: History) -> dict[str, _CallSummary]:
    """Return each call with its answers, by call id."""
    calls = {record.call: _CallSummary(record) for record in history.of_type(RequestSent)}
    for record in history.of_type(RequestAnswered):
        if record.call in calls:
            calls[record.call].answers.append(record)
    return calls


def _group_executions(history: History) -> dict[str, list[RequestStarted]]:
    """Return the executions of each operation, sorted by time."""
    executions: dict[str, list[RequestStarted]] = defaultdict(list)
    for record in history.of_type(RequestStarted):
        executions[record.operation].append(record)
    return executions


def _is_loss_excused(call: _CallSummary, history: History) -> bool:
    """Return whether a lost call is allowed: its entry VM was killed or already shutting down."""
    sent_s, vm = call.sent.time_s, call.sent.entry_vm
    was_killed = any(
        record.killed
        and record.entry_vm == vm
        and sent_s <= record.time_s
        and (record.time_s if record.since_s is None else record.since_s) <= call.answered_s
        for record in history.of_type(EntryVmDown)
    )
    was_stopping = any(
        record.entry_vm == vm and record.time_s - SIGTERM_RACE_WINDOW_S < sent_s
        for record in history.of_type(ShutdownRequested)
    )
    return was_killed or was_stopping


def check_answers(history: History) -> list[Violation]:
    """Return a violation for each call without exactly one complete answer to its own body.

    A lost connection is allowed when the entry VM was killed during the call, or got SIGTERM before
    the call.
    """
    violations = []
    for name, call in _summarize_calls(history).items():
        problem = ""
        if not call.answers:
            problem = "has no answer"
        elif len(call.answers) > 1:
            problem = f"has {len(call.answers)} answers"
        elif call.outcome == "lost" and not _is_loss_excused(call, history):
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


def check_not_run_answers(history: History) -> list[Violation]:
    """Return a violation for each execution of which every earlier call was answered `not_run`."""
    violations = []
    calls_by_operation: dict[str, list[_CallSummary]] = defaultdict(list)
    for call in _summarize_calls(history).values():
        calls_by_operation[call.sent.operation].append(call)
    for operation, executions in _group_executions(history).items():
        calls = calls_by_operation.get(operation, [])
        for execution in executions:
            earlier_calls = [call for call in calls if call.sent.time_s <= execution.time_s]
            if earlier_calls and all(call.outcome == "not_run" for call in earlier_calls):
                names = ", ".join(call.sent.call for call in earlier_calls)
                detail = f"{execution.target} ran {operation}, but not run was answered to {names}"
                violations.append(Violation(Promise.NOT_RUN, detail, execution.time_s))
    return violations


def check_at_most_once(history: History) -> list[Violation]:
    """Return a violation for each execution of a non-idempotent operation after its first."""
    non_idempotent_operations = {
        record.operation for record in history.of_type(RequestSent) if not record.idempotent
    }
    violations = []
    for operation, executions in _group_executions(history).items():
        if operation not in non_idempotent_operations:
            continue
        for number, execution in enumerate(executions[1:], start=2):
            detail = f"execution {number} of {operation} on {execution.target}"
            violations.append(Violation(Promise.AT_MOST_ONCE, detail, execution.time_s))
    return violations


def check_leaving_targets(history: History, grace_s: float = LEAVING_GRACE_S) -> list[Violation]:
    """Return a violation for each request that a leaving target starts after the grace period.

    Args:
        history: records of a run.
        grace_s: time in seconds after `VmLeaving` in which requests may still start.

    Returns:
        The violations.
    """
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


def _find_interrupted_operations(history: History) -> set[str]:
    """Return the operations with an execution that was interrupted by a crash of its target."""
    interrupted_executions = {
        (record.target, record.execution)
        for record in history.of_type(RequestEnded)
        if not record.completed
    }
    return {
        record.operation
        for record in history.of_type(RequestStarted)
        if (record.target, record.execution) in interrupted_executions
    }


def check_graceful_shutdown(history: History) -> list[Violation]:
    """Return a violation for each request that a shutdown interrupted, and each failed exit.

    A request in progress at SIGTERM counts as interrupted when it got no answer, its connection was
    lost, or its outcome is unknown although its target did not crash during the execution. A daemon
    must exit with status 0.
    """
    violations = []
    calls = list(_summarize_calls(history).values())
    interrupted_operations = _find_interrupted_operations(history)
    for stop in history.of_type(ShutdownRequested):
        for call in calls:
            is_in_progress = (
                call.sent.entry_vm == stop.entry_vm
                and call.sent.time_s <= stop.time_s - SIGTERM_RACE_WINDOW_S
                and call.answered_s > stop.time_s
            )
            is_interrupted = call.outcome in ("", "lost") or (
                call.outcome == "unknown" and call.sent.operation not in interrupted_operations
            )
            if is_in_progress and is_interrupted:
                detail = (
                    f"{stop.entry_vm} interrupted call {call.sent.call}:"
                    f" {call.outcome or 'no answer'}"
                )
                violations.append(Violation(Promise.SHUTDOWN, detail, stop.time_s))
    for end in history.of_type(ShutdownFinished):
        if end.exit_status != 0:
            detail = f"{end.entry_vm} exited with status {end.exit_status}"
            violations.append(Violation(Promise.SHUTDOWN, detail, end.time_s))
    return violations
