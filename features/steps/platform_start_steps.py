"""Steps for the start of the daemon on the platform."""

import pathlib
import signal
import time

from behave import given, then, when
from platform_processes import START_TIMEOUT_S, PlatformDeployment, wait_for


def has_loaded(daemon, library):
    """Return whether a process has loaded a library."""
    return library in pathlib.Path(f"/proc/{daemon.process.pid}/maps").read_text()


@given("a daemon on the platform that is importing its libraries")
def start_daemon(context):
    context.deployment = PlatformDeployment(daemons_count=1)
    context.add_cleanup(context.deployment.close)
    (context.daemon,) = context.deployment.daemons
    context.daemon.start()
    limit_s = time.monotonic() + START_TIMEOUT_S
    while not has_loaded(context.daemon, "msgspec"):
        assert time.monotonic() < limit_s, context.daemon.read_log_tail()


@when("it gets SIGHUP {count:d} times within {seconds:g} s")
def send_signals(context, count, seconds):
    for _ in range(count):
        context.daemon.send_signal(signal.SIGHUP)
        time.sleep(seconds / count)


@then("it becomes ready")
def check_ready(context):
    wait_for(context.daemon.is_ready, START_TIMEOUT_S, context.daemon.read_log_tail())


@then("it still handles SIGHUP")
def check_handled(context):
    def was_checked():
        return any(
            line["message"] == "settings file checked" for line in context.daemon.read_log_lines()
        )

    context.daemon.send_signal(signal.SIGHUP)
    wait_for(was_checked, START_TIMEOUT_S, "the signal was not handled")
