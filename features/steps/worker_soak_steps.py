"""Steps for the worker soak and for its checks."""

import re

from behave import given, then, when
from worker_soak import MAX_ATTEMPTS, SoakPlan, WorkerSoak

from fireflywharf_testing import JobAnswer, check_answers, check_finished, check_twice
from fireflywharf_testing.platform_stand_ins import (
    EndsAcknowledged,
    LeaseLapsed,
    RunEnded,
    RunStarted,
)

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
START = re.compile(r"run (\d+) starts on (\w+) at ([\d.]+) s")
END = re.compile(r"run (\d+) ends (\w+) at ([\d.]+) s")
ACKNOWLEDGED = re.compile(r"ack (\d+) at ([\d.]+) s")
LAPSE = re.compile(r"lapse at ([\d.]+) s")
ROOM_TASKS_COUNT = 16


@when('workers run jobs for {seconds:d} s under the faults "{mix}" of seed {seed:d}')
def run_worker_soak(context, seconds, mix, seed):
    context.soak = WorkerSoak(SoakPlan(seed, mix, seconds))
    context.soak.run()


@when(
    "{workers:d} workers and {daemons:d} daemons run jobs for {seconds:d} s"
    ' under the faults "{mix}" of seed {seed:d}'
)
def run_larger_worker_soak(context, workers, daemons, seconds, mix, seed):
    plan = SoakPlan(seed, mix, seconds, workers_count=workers, daemons_count=daemons)
    context.soak = WorkerSoak(plan)
    context.soak.run()


@then("no task ran twice and no job was lost")
def check_worker_soak(context):
    soak = context.soak
    assert soak.clients.accepted_s, "no job was accepted"
    assert soak.faults.count, "no fault occurred"
    lines = [soak.count_breaches(), soak.summary, *soak.describe(1), *map(str, soak.kept_folders)]
    assert not soak.breaches, "\n".join(lines)


def parse_event(text):
    """Return the event of worker "a", or the start on another worker, that a text names."""
    if found := START.fullmatch(text):
        return RunStarted(float(found[3]), found[2], 1, TASK, int(found[1]))
    if found := END.fullmatch(text):
        end_number = 0 if found[2] == "gone" else 1
        return RunEnded(float(found[3]), "a", 1, TASK, int(found[1]), found[2], end_number)
    if found := ACKNOWLEDGED.fullmatch(text):
        return EndsAcknowledged(float(found[2]), "a", 1, int(found[1]))
    return LeaseLapsed(float(LAPSE.fullmatch(text)[1]), "a", 1)


@given("a history in which {history}")
def build_history(context, history):
    first = RunStarted(1.0, "a", 1, TASK, 1)
    context.events = [first, *(parse_event(text) for text in history.split(", "))]


def assert_kinds(breaches, found):
    expected = [] if found == "nothing" else [found]
    assert [breach.kind for breach in breaches] == expected, breaches


@then("the check for runs of one task, with only listed ends forgotten, finds {found}")
def check_found_twice_listed(context, found):
    assert_kinds(check_twice(context.events, forgets_later_ends=False), found)


@then("the check for runs of one task finds {found}")
def check_found_twice(context, found):
    assert_kinds(check_twice(context.events), found)


@given('a job whose last answer at {time_s:f} s is "{state}" and whose run {run}')
def build_last_answer(context, time_s, state, run):
    start, end = re.search(r"starts at ([\d.]+)", run), re.search(r"ends at ([\d.]+)", run)
    context.events = []
    if start:
        context.events.append(RunStarted(float(start[1]), "a", 1, TASK, 1))
    if end:
        context.events.append(RunEnded(float(end[1]), "a", 1, TASK, 1, "lapsed", 1))
    context.final = {JOB: JobAnswer(time_s, "vm-0", JOB, state)}


@then("the check for lost jobs finds {found}")
def check_found_lost(context, found):
    assert_kinds(check_finished(context.final, context.events, ROOM_TASKS_COUNT), found)


@given(
    'a client to whom "{daemon}" answered "{state}" at {time_s:f} s'
    " about a job with {failed:d} failed runs"
)
def build_answer(context, daemon, state, time_s, failed):
    context.answers = [JobAnswer(time_s, daemon, JOB, state)]
    context.events = [
        RunEnded(2.0 + number / 10, "a", 1, TASK, number, "failed", number)
        for number in range(1, failed + 1)
    ]


@then("the check of the answers finds {found}")
def check_found_answers(context, found):
    faults_s = {"vm-0": [(10.0, 12.0)]}
    breaches = check_answers({JOB: 1.0}, context.answers, faults_s, context.events, MAX_ATTEMPTS)
    assert_kinds(breaches, found)
