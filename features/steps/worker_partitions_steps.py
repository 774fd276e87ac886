"""Steps for the cuts of the network in two."""

import http.client
import threading
import time
from types import SimpleNamespace

from behave import then, when
from soak import FaultProxy
from worker_faults_steps import Caller, begin_fault
from worker_soak_partitions import JOURNAL_TOPIC, CutKind, Network, Partition

from fireflywharf_core.workflows import TenureRecord, encode_record

NAMES = ("vm-0", "vm-1")
ANSWER_TIMEOUT_S = 1.0
LAG_S = 0.6


def open_network(context):
    """Return the network between two daemons, the worker and the store; open it on first use."""
    if "network" not in context:
        proxies = {name: FaultProxy(context.world.store_address) for name in NAMES}
        for proxy in proxies.values():
            context.world.call(proxy.open)
            context.add_cleanup(context.world.call, proxy.close)
        daemons = [SimpleNamespace(name=name) for name in NAMES]
        context.network = Network(context.world, daemons, proxies)
    return context.network


def read_journal(context, daemon, part, timeout_s):
    """Return the status of a read through the proxy of a daemon, or the name of the exception."""
    host, _, port = context.network.proxies[daemon].address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request("GET", f"/log-read?topic={JOURNAL_TOPIC}&part={part}&from=0")
        return connection.getresponse().status
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()


@when('the journal names "{daemon}" as the holder of fencing token {token:d}')
def write_tenure(context, daemon, token):
    open_network(context)
    key, value = encode_record(TenureRecord(holder=f"{daemon}#1", epoch=token, ordinal=1))
    context.world.call(context.world.store.put, JOURNAL_TOPIC, key, value)


@when('the network is cut for {seconds:f} s with "{daemon}" and {workers} inside')
def cut_network(context, seconds, daemon, workers):
    cut_network_by_kind(context, seconds, CutKind.AT_ONCE.value, daemon, workers)


@when('the network is cut for {seconds:f} s, {kind}, with "{daemon}" and {workers} inside')
def cut_network_by_kind(context, seconds, kind, daemon, workers):
    inside = {"the worker": {context.worker.executor_id}, "no worker": set()}[workers]
    has_lag = CutKind(kind) in (CutKind.WORKERS_FIRST, CutKind.STORE_FIRST)
    partition = Partition(
        frozenset({daemon}),
        frozenset(inside),
        CutKind(kind),
        seconds,
        LAG_S if has_lag else 0.0,
    )
    begin_fault(context, open_network(context).cut(partition))


@then("a call with fencing token {token:d} is answered")
def check_answered(context, token):
    status, body = Caller(context.worker).call("hold", ANSWER_TIMEOUT_S, fencing_token=token)
    assert status == 200, (status, body)


@then("a call with fencing token {token:d} has no answer within {seconds:f} s")
def check_dropped(context, token, seconds):
    status, body = Caller(context.worker).call("hold", seconds, fencing_token=token)
    assert status == "TimeoutError", (status, body)


@then("{pause_s:f} s later a call with fencing token {token:d} is answered")
def check_answered_later(context, pause_s, token):
    time.sleep(pause_s)
    check_answered(context, token)


@then("{pause_s:f} s later a call with fencing token {token:d} has no answer within {seconds:f} s")
def check_dropped_later(context, pause_s, token, seconds):
    time.sleep(pause_s)
    check_dropped(context, token, seconds)


@when("a call with fencing token {token:d} that waits {wait_s:f} s is sent")
def send_waiting_call(context, token, wait_s):
    context.waiting, context.answers = Caller(context.worker), []

    def wait():
        wait_ms = int(wait_s * 1000)
        answer = context.waiting.call("hold", 5.0, fencing_token=token, wait_ms=wait_ms)
        context.answers.append(answer)

    context.thread = threading.Thread(target=wait, daemon=True)
    context.thread.start()
    time.sleep(0.1)


@then('a read of part {part:d} of the journal by "{daemon}" is answered')
def check_read_answered(context, part, daemon):
    assert read_journal(context, daemon, part, ANSWER_TIMEOUT_S) == 200


@then('a read of part {part:d} of the journal by "{daemon}" has no answer within {seconds:f} s')
def check_read_dropped(context, part, daemon, seconds):
    assert read_journal(context, daemon, part, seconds) == "TimeoutError"


@then('{pause_s:f} s later a read of part {part:d} of the journal by "{daemon}" is answered')
def check_read_answered_later(context, pause_s, part, daemon):
    time.sleep(pause_s)
    check_read_answered(context, part, daemon)
