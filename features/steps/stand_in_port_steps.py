"""Steps for the ports of stand-ins and test daemons."""

import subprocess
import sys

from behave import given, then

from fireflywharf_testing import reserve_port

HOST = "127.0.0.1"
ALLOCATE_PORT_SCRIPT = """
import sys
from fireflywharf_testing import _ports
_ports.LOWEST_PORT = int(sys.argv[1])
_ports.HIGHEST_PORT = _ports.LOWEST_PORT + 1
try:
    print("chose", _ports.reserve_port(sys.argv[2]))
except OSError:
    print("none free")
"""


@given("this process has allocated a port")
def step_allocate_port(context):
    context.port = reserve_port(HOST)


@then("another process that may use only this port finds no free port")
def step_run_other_process(context):
    command = [sys.executable, "-c", ALLOCATE_PORT_SCRIPT, str(context.port), HOST]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()
    assert output == "none free", output
