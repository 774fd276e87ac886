"""Steps for the ports of stand-ins and test daemons."""

import subprocess
import sys

from behave import given, then

from fireflywharf_testing import reserve_port

HOST = "127.0.0.1"
CHOOSE = """
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
def step_port(context):
    context.port = reserve_port(HOST)


@then("another process that may use only this port finds no free port")
def step_other_process(context):
    command = [sys.executable, "-c", CHOOSE, str(context.port), HOST]
    told = subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()
    assert told == "none free", told
