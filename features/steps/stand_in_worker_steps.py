"""Steps for the stand-in for a worker."""

import json
import threading

import urllib3
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from stand_in_support import CAPACITY, ManualClock, attempt_id, manual_worker, post

from fireflywharf_core.history import AttemptEnded, AttemptResized, AttemptStarted
from fireflywharf_core.platform import (
    AcknowledgeAttempt,
    CheckpointAttempt,
    StartAttempt,
    StopAttempt,
    ThrottleAttempt,
)
from fireflywharf_core.resources import ResourceVector
from fireflywharf_testing import wait_until


@when('holder "{holder}" claims the worker for {ttl_s:g} s')
def claim_worker(context, holder, ttl_s):
    answer = post(
        context, "centro-worker-1", "/v1/claim", {"holder": holder, "ttl_s": ttl_s}
    ).json()
    assert answer["granted"], answer
    context.epochs = getattr(context, "epochs", {}) | {holder: answer["epoch"]}


@when('holder "{holder}" claims the worker for {ttl_s:g} s after {delay_s:g} s')
def claim_worker_later(context, holder, ttl_s, delay_s):
    refused = post(
        context, "centro-worker-1", "/v1/claim", {"holder": holder, "ttl_s": ttl_s}
    ).json()
    assert not refused["granted"], refused
    threading.Event().wait(delay_s)
    claim_worker(context, holder, ttl_s)


def start_over_http(context, holder):
    size = {"processors_millicores": 10, "memory_mb": 10}
    attempt = {"task": {"job_id": "j", "index": 0}, "number": 1}
    command = {"type": "StartAttempt", "attempt": attempt, "size": size}
    body = {"epoch": context.epochs[holder], "commands": [command]}
    return post(context, "centro-worker-1", "/v1/commands", body)


@then('a start by holder "{holder}" is refused as stale')
def check_start_refused(context, holder):
    assert start_over_http(context, holder).status == 409


@then('a start by holder "{holder}" is accepted')
def check_start_accepted(context, holder):
    answer = start_over_http(context, holder)
    assert answer.status == 200 and answer.json()[0]["accepted"], answer.data


@then("the effects show 1 attempt")
def check_one_attempt(context):
    assert len(context.platform.recorder.of(AttemptStarted)) == 1


def command_strategy():
    attempts = st.builds(attempt_id, st.integers(0, 3), st.integers(1, 2))
    sizes = st.builds(ResourceVector, st.integers(0, 700), st.integers(0, 700), st.integers(0, 1))
    texts = st.sampled_from(["", '{"run_s": 2.5}', '{"run_s": null}', "not json", "[1]"])
    return st.one_of(
        st.builds(StartAttempt, attempts, sizes, texts, st.sampled_from([0.0, 0.5, 4.0])),
        st.builds(StopAttempt, attempts),
        st.builds(CheckpointAttempt, attempts),
        st.builds(ThrottleAttempt, attempts, st.integers(0, 800)),
        st.builds(AcknowledgeAttempt, attempts),
        st.sampled_from([0.1, 1.0, 3.0, 11.0]),
    )


def check_effects_within_capacity(effects):
    """Check from the recorded effects that capacity holds and no attempt starts twice."""
    running, started = {}, set()
    for effect in effects:
        match effect:
            case AttemptStarted():
                assert effect.attempt not in started
                started.add(effect.attempt)
                running[effect.attempt] = effect.size
            case AttemptResized():
                running[effect.attempt] = effect.size
            case AttemptEnded():
                del running[effect.attempt]
        assert sum(running.values(), ResourceVector()).fits_in(CAPACITY), effects


@then("random command sequences keep a worker within its capacity")
def check_random_commands(context):
    context.starts_count, reasons = 0, set()

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis_given(st.lists(command_strategy(), min_size=10, max_size=40))
    def check(steps):
        clock = ManualClock()
        worker = manual_worker(clock, task_lease_s=10.0)
        epoch = worker.claim("a", 60.0).epoch
        for step in steps:
            if isinstance(step, float):
                clock.now_s += step
                epoch = worker.claim("a", 60.0).epoch
            else:
                reasons.update(answer.reason for answer in worker.commands(epoch, [step]))
        worker.advance()
        check_effects_within_capacity(worker.recorder.all())
        context.starts_count += len(worker.recorder.of(AttemptStarted))

    check()
    assert context.starts_count > 300, context.starts_count
    assert reasons == {"", "no_room", "duplicate", "unknown_attempt"}, reasons


@given("a worker on a manual clock with a task lease of 30 s")
def create_manual_worker(context):
    context.clock = ManualClock()
    context.worker = manual_worker(context.clock)
    context.epoch = context.worker.claim("a", 60.0).epoch


def start_attempt(context, attempt, run_s):
    command = StartAttempt(attempt, ResourceVector(100, 100), json.dumps({"run_s": run_s}))
    assert context.worker.commands(context.epoch, [command])[0].accepted
    context.started_s = context.clock.now_s


def advance_with_renewals(context, duration_s, renew_tasks=True):
    end_s = context.clock.now_s + duration_s
    while context.clock.now_s < end_s:
        context.clock.now_s = min(end_s, context.clock.now_s + 1.0)
        context.worker.claim("a", 60.0, renew_tasks)


def describe_last_end(context):
    ended = context.worker.recorder.of(AttemptEnded)[-1]
    return ended.end, round(ended.time_s - context.started_s, 6)


@when("an attempt that takes 100 s starts")
def start_long_attempt(context):
    start_attempt(context, attempt_id(0), 100.0)


@when("an attempt that takes 100 s starts again")
def start_long_attempt_again(context):
    start_attempt(context, attempt_id(0, 2), 100.0)


@when("the holder renews every second for 40 s without renewing tasks")
def renew_holder_only(context):
    advance_with_renewals(context, 40.0, renew_tasks=False)


@when("the holder renews every second for 110 s with its tasks")
def renew_with_tasks(context):
    advance_with_renewals(context, 110.0)


@when("31 s pass without a renewal")
def advance_without_renewal(context):
    context.clock.now_s += 31.0


@then("the attempt ended as lease_lapsed 30 s after its start")
def check_lease_expired(context):
    context.worker.advance()
    assert describe_last_end(context) == ("lease_lapsed", 30.0), describe_last_end(context)


@then("the attempt is listed until it is acknowledged")
def check_acknowledged(context):
    epoch = context.worker.claim("a", 60.0).epoch
    assert [row.attempt for row in context.worker.listing().ended] == [attempt_id(0)]
    answers = context.worker.commands(epoch, [AcknowledgeAttempt(attempt_id(0))])
    assert answers[0].accepted and context.worker.listing().ended == []


@when("an attempt that takes 10 s is throttled to half after 2 s")
def throttle_attempt(context):
    start_attempt(context, attempt_id(0), 10.0)
    advance_with_renewals(context, 2.0)
    context.worker.commands(context.epoch, [ThrottleAttempt(attempt_id(0), 50)])
    advance_with_renewals(context, 20.0)


@when("another attempt that takes 10 s is checkpointed after 4 s")
def checkpoint_attempt(context):
    start_attempt(context, attempt_id(1), 10.0)
    advance_with_renewals(context, 4.0)
    context.worker.commands(context.epoch, [CheckpointAttempt(attempt_id(1))])
    assert describe_last_end(context) == ("checkpointed", 4.0)
    start_attempt(context, attempt_id(1, 2), 10.0)
    advance_with_renewals(context, 8.0)


@then("the attempt ends {expected:g} s after its start")
@then("its next attempt ends {expected:g} s after its start")
def check_success_time(context, expected):
    assert describe_last_end(context) == ("succeeded", expected), describe_last_end(context)


@when("the stand-in worker fails every attempt")
def fail_every_attempt(context):
    post(context, "centro-worker-1", "/v1/faults", {"fail_p": 1.0})
    server = context.platform.servers["centro-worker-1"]
    assert wait_until(lambda: server.faults.fail_p == 1.0, 5.0)


@then("the stand-in's attempt ends as {end}")
def check_attempt_end(context, end):
    recorder = context.platform.recorder
    assert wait_until(lambda: recorder.of(AttemptEnded), 5.0)
    assert [effect.end for effect in recorder.of(AttemptEnded)] == [end]


@when("the stand-in worker is killed through the control server")
def kill_worker(context):
    assert post(context, "control", "/v1/vms/centro-worker-1/kill", {}).status == 200


@then("the worker refuses connections until it is restarted")
def check_worker_refuses(context):
    claim = {"holder": "b", "ttl_s": 5}
    try:
        answer = post(context, "centro-worker-1", "/v1/claim", claim)
    except urllib3.exceptions.HTTPError as error:
        answer = error
    assert isinstance(answer, urllib3.exceptions.NewConnectionError), answer
    assert post(context, "control", "/v1/vms/centro-worker-1/restart", {}).status == 200
    assert post(context, "centro-worker-1", "/v1/claim", claim).status == 200


@when("an attempt with all processors is throttled and another attempt takes the freed capacity")
def throttle_and_reuse_capacity(context):
    capacity_commands = [
        StartAttempt(attempt_id(0), ResourceVector(1000, 10)),
        ThrottleAttempt(attempt_id(0), 400),
    ]
    capacity_commands.append(StartAttempt(attempt_id(1), ResourceVector(600, 10)))
    assert all(
        answer.accepted for answer in context.worker.commands(context.epoch, capacity_commands)
    )


@then("raising the limit of the first attempt is refused because no capacity is free")
def check_throttle_limit_kept(context):
    answers = context.worker.commands(context.epoch, [ThrottleAttempt(attempt_id(0), 401)])
    assert [answer.reason for answer in answers] == ["no_room"], answers
    check_effects_within_capacity(context.worker.recorder.all())
