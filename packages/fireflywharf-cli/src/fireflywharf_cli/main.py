"""Entry point of the command `fireflywharf`, the operators' command line."""

import argparse
import math
import os
import sys
from collections.abc import Mapping

import attrs
import defopt

from fireflywharf_core.results import ResultCode, describe_code

from ._client import SERVER_FORMAT, DaemonClient, parse_server
from ._cluster_commands import ClusterCommands
from ._console import Console
from ._contract_commands import ContractCommands
from ._job_commands import JobCommands
from ._log_commands import explain_log
from ._outcomes import Failure, build_usage_failure

SERVER_VARIABLE = "FIREFLYWHARF_SERVER"
DEFAULT_SERVER = "127.0.0.1:8080"
DEFAULT_TIMEOUT_S = 30.0
INTERRUPTED_EXIT_STATUS = 130
DESCRIPTION = "Command line for operators of the fireflywharf cluster scheduler."
EPILOG = f"""global options, accepted by every command:
  --server IP:PORT[,IP:PORT...]  entry VMs to call, in order; the next one is called only if the
                                 previous one did not accept a connection
                                 (default: ${SERVER_VARIABLE}, else {DEFAULT_SERVER})
  --output table|json            output format (default: table)
  --timeout-s SECONDS            maximum wait for a response (default: {DEFAULT_TIMEOUT_S:g})

Exit statuses are listed in docs/result-codes.md.
"""


@attrs.frozen(kw_only=True)
class GlobalOptions:
    """Options that every command accepts.

    Args:
        servers: addresses of entry VMs, in the order in which they are called.
        output: output format, `table` or `json`.
        timeout_s: maximum wait for a response.
    """

    servers: list[str]
    output: str
    timeout_s: float


def parse_integer(text: str) -> int:
    """Convert an option to an integer; the error message says what is accepted."""
    try:
        return int(text)
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not valid; accepted: a whole number"
        ) from None


def parse_number(text: str) -> float:
    """Convert an option to a finite number; the error message says what is accepted."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise argparse.ArgumentTypeError(f"{text!r} is not valid; accepted: a number")
    return value


def parse_global_options(
    arguments: list[str], environment: Mapping[str, str]
) -> tuple[GlobalOptions, list[str]] | Failure:
    """Extract the global options from any position of the command line.

    Args:
        arguments: command line without the program name.
        environment: environment variables.

    Returns:
        The global options and the remaining arguments, or the failure to report.
    """
    for argument in arguments:
        if any("\ud800" <= char <= "\udfff" for char in argument):
            return build_usage_failure("command line", argument, "UTF-8 text")
    parser = argparse.ArgumentParser(prog="fireflywharf", add_help=False, allow_abbrev=False)
    parser.add_argument("--server", default=environment.get(SERVER_VARIABLE) or DEFAULT_SERVER)
    parser.add_argument("--output", default="table", choices=["table", "json"])
    parser.add_argument("--timeout-s", default=DEFAULT_TIMEOUT_S, type=parse_number)
    known, remaining = parser.parse_known_args(arguments)
    servers = [server.strip() for server in known.server.split(",")]
    for server in servers:
        if parse_server(server) is None:
            return build_usage_failure("--server", server, SERVER_FORMAT)
    if known.timeout_s <= 0:
        return build_usage_failure("--timeout-s", known.timeout_s, "a number above 0")
    options = GlobalOptions(servers=servers, output=known.output, timeout_s=known.timeout_s)
    return options, remaining


def list_commands(client: DaemonClient, console: Console) -> dict:
    """Return the commands by name, nested as defopt expects them."""
    contract, job = ContractCommands(client, console), JobCommands(client)
    cluster = ClusterCommands(client, console)
    return {
        "contract": {
            "apply": contract.apply,
            "get": contract.get,
            "list": contract.list_all,
            "history": contract.history,
            "diff": contract.diff,
            "check": contract.check,
        },
        "job": {
            "submit": job.submit,
            "status": job.status,
            "cancel": job.cancel,
            "list": job.list_all,
            "explain": job.explain,
        },
        "explain": job.explain,
        "explain-log": explain_log,
        "vm": {"list": cluster.list_vms},
        "status": cluster.status,
        "top": cluster.top,
        "domain": {"lost": cluster.declare_lost},
        "request": {"send": cluster.send_request},
        "keys": {"issue": cluster.issue_keys},
    }


def run(arguments: list[str], environment: Mapping[str, str]) -> int:
    """Run one command.

    Args:
        arguments: command line without the program name.
        environment: environment variables.

    Returns:
        The exit status.

    Raises:
        SystemExit: after `--help`, or for an argument that cannot be parsed.
    """
    parsed = parse_global_options(arguments, environment)
    if isinstance(parsed, Failure):
        Console("table").write(parsed)
        return describe_code(parsed.code).exit_status
    options, remaining = parsed
    console = Console(options.output)
    outcome = defopt.run(
        list_commands(DaemonClient(options.servers, options.timeout_s), console),
        argv=remaining,
        short={},
        no_negated_flags=True,
        version=False,
        parsers={int: parse_integer, float: parse_number},
        argparse_kwargs={"prog": "fireflywharf", "description": DESCRIPTION, "epilog": EPILOG},
    )
    console.write(outcome)
    return describe_code(outcome.code).exit_status


def main() -> int:
    """Run the command given in `sys.argv` and return the exit status."""
    try:
        return run(sys.argv[1:], os.environ)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return INTERRUPTED_EXIT_STATUS
    except BrokenPipeError:
        # The flush at exit writes to standard output again; the null device keeps it from failing.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except Exception as error:  # noqa: BLE001
        failure = Failure(ResultCode.INTERNAL_ERROR, f"{type(error).__name__}: {error}")
        print(failure.to_text(), file=sys.stderr)
        return describe_code(failure.code).exit_status


if __name__ == "__main__":
    sys.exit(main())
