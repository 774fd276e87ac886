"""Steps for the stand-ins for the log and the VM list."""

import attrs
import urllib3
from behave import given, then, when
from stand_in_support import ManualClock, append, read_log, worker_vm

from fireflywharf_core.history import AppendDone
from fireflywharf_core.platform import VmState
from fireflywharf_testing import (
    FaultSettings,
    HistoryRecorder,
    LogSettings,
    LogStandIn,
    VmListStandIn,
)


@when("the log loses the answer to an append")
def lose_answer(context):
    context.platform.set_faults("log-centro", FaultSettings(lose_answer_p=1.0))
    try:
        context.append_result = append(context, 0)
    except urllib3.exceptions.ProtocolError as error:
        context.append_result = error
    context.platform.set_faults("log-centro")


@then("the writer saw a closed connection")
def check_closed(context):
    assert isinstance(
        context.append_result, urllib3.exceptions.ProtocolError
    ), context.append_result


@then("the retry of the append is answered with offset 0")
def check_repeat(context):
    assert append(context, 0).json() == {"first_offset": 0}


@then("the log holds the record once")
def check_record_once(context):
    assert [entry["sequence"] for entry in read_log(context).json()["entries"]] == [0]
    flags = [effect.duplicate for effect in context.platform.recorder.of(AppendDone)]
    assert flags == [False, True], flags


@given("a log that keeps 3 records")
def create_log_with_retention(context):
    context.log = LogStandIn(LogSettings(retention_records=3), HistoryRecorder())


@when("5 records are appended to the stand-in log")
def append_five(context):
    for sequence in range(5):
        context.log.append("jobs", "a", sequence, [b"x"])


@then("a read from offset 0 starts at offset 2")
def check_first_available(context):
    answer = context.log.read("jobs", 0, 10)
    assert [entry.offset for entry in answer.entries] == [2, 3, 4]
    assert (answer.first_available, answer.next_offset) == (2, 5)


@given("a log on a manual clock that accepts 10 appends per second")
def create_rate_limited_log(context):
    context.clock = ManualClock()
    limits = LogSettings(appends_per_second=10)
    context.log = LogStandIn(limits, HistoryRecorder(), context.clock)
    context.sequence = 0


def count_accepted(context):
    answers = []
    for _ in range(15):
        context.sequence += 1
        answers.append(context.log.append("jobs", "a", context.sequence, [b"x"]))
    return sum(answer is not None for answer in answers)


@then("10 of 15 simultaneous appends are accepted")
def check_burst(context):
    assert count_accepted(context) == 10


@then("5 of 15 appends 0.5 s later are accepted")
def check_later_burst(context):
    context.clock.now_s += 0.5
    assert count_accepted(context) == 5


@when("the stand-in log hangs")
def hang_log(context):
    context.platform.set_faults("log-centro", FaultSettings(down="hang"))


@then("an append gets no answer and no effect until the fault ends")
def check_hanging_log(context):
    http = urllib3.PoolManager(retries=False, timeout=0.5)
    try:
        answer = append(context, 0, http)
    except urllib3.exceptions.ReadTimeoutError:
        answer = None
    assert answer is None and context.platform.recorder.of(AppendDone) == []
    context.platform.set_faults("log-centro")
    assert append(context, 0, http).json() == {"first_offset": 0}


@when("the log goes silent under an open connection")
def go_silent(context):
    context.reused_http = urllib3.PoolManager(retries=False, timeout=0.5)
    context.add_cleanup(context.reused_http.clear)
    append(context, 0, context.reused_http)
    context.platform.set_faults("log-centro", FaultSettings(silent=True))


@then("the open connection gets no answer and no effect")
def check_silent(context):
    try:
        answer = append(context, 1, context.reused_http)
    except urllib3.exceptions.ReadTimeoutError:
        answer = None
    assert answer is None
    assert len(context.platform.recorder.of(AppendDone)) == 1


@then("a new connection to the log works")
def check_new_connection(context):
    assert append(context, 1, context.reused_http).json() == {"first_offset": 1}


@when("the log truncates its answers")
def truncate_answers(context):
    append(context, 0)
    context.platform.set_faults("log-centro", FaultSettings(cut_answer_p=1.0))


@then("a read of the log ends early")
def check_truncated_read(context):
    try:
        answer = read_log(context)
    except urllib3.exceptions.ProtocolError as error:
        assert "IncompleteRead" in repr(error), error
    else:
        raise AssertionError(f"expected a truncated answer; a whole one arrived: {answer.data}")


@given("a VM list on a manual clock with a lag of 2 s")
def create_vm_list(context):
    context.clock = ManualClock()
    context.vm_list = VmListStandIn(2.0, HistoryRecorder(), context.clock)
    context.vm_list.add(worker_vm())
    context.clock.now_s += 10.0


@when("a VM of the list is marked as leaving")
def mark_leaving(context):
    context.vm_list.mark_leaving("w1")
    context.marked_s = context.clock.now_s


@then("the list shows it as {state} {delay_s:g} s later")
def check_shown_state(context, state, delay_s):
    context.clock.now_s = context.marked_s + delay_s
    expected = attrs.evolve(worker_vm(), state=VmState(state))
    assert context.vm_list.lagged_vms() == [expected], context.vm_list.lagged_vms()
