"""Steps for the bounded stream that log lines are written to."""

import os
import time
import unittest.mock

from behave import given, then, when

from fireflywharf_daemon.logs import BoundedStream


@given("a stream for log lines that nobody reads")
def create_unread_stream(context):
    context.read_end, write_end = os.pipe()
    context.add_cleanup(os.close, context.read_end)
    context.add_cleanup(os.close, write_end)
    context.stream = BoundedStream(write_end)


@when("{count:d} lines of {length:d} characters are logged")
def log_lines(context, count, length):
    started_s = time.monotonic()
    for _ in range(count):
        context.stream.write("x" * length + "\n")
        context.stream.write_pending()
    context.elapsed_s = time.monotonic() - started_s


@when("{count:d} lines of {length:d} characters are logged at once")
def log_lines_at_once(context, count, length):
    context.writes = []

    def write(descriptor, data):
        context.writes.append(bytes(data))
        return len(data)

    for _ in range(count):
        context.stream.write("x" * length + "\n")
    with unittest.mock.patch("os.write", write):
        context.stream.write_pending()


@then("each write holds whole lines and at most {limit:d} bytes")
def check_write_sizes(context, limit):
    assert sum(map(len, context.writes)) == 200 * 251
    assert max(map(len, context.writes)) <= limit, max(map(len, context.writes))
    assert all(data.endswith(b"\n") for data in context.writes)


@then("no call has blocked and the dropped lines are counted")
def check_not_blocked(context):
    assert context.elapsed_s < 20.0, context.elapsed_s
    assert context.stream.dropped_count > 0


@then("the count of dropped lines is written once the lines are read")
def check_count_written(context):
    text = b""
    for _ in range(100):
        text += os.read(context.read_end, 1 << 16)
        context.stream.write_pending()
        if b"log lines left out" in text:
            return
    raise AssertionError(text[-200:])
