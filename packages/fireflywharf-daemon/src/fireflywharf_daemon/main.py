"""Entry point of the command `fireflywharfd`, the daemon of an entry VM."""

import asyncio
import logging
import os
import pathlib
import sys

import defopt

from fireflywharf_core.results import ResultCode, describe_code

from .application import Application
from .logs import configure_logging
from .settings import load_settings


def run_daemon(settings: pathlib.Path, *, check_settings: bool = False) -> int:
    """Run the daemon until SIGTERM or SIGINT.

    Args:
        settings: path of the TOML file with the settings.
        check_settings: only validate the settings and print all errors.

    Returns:
        Exit status.
    """
    loaded, problems = load_settings(settings)
    if loaded is None:
        code = ResultCode.INVALID_SETTINGS
        for problem in problems:
            print(f"{code.value} {code.name}: {problem}", file=sys.stderr)
        return describe_code(code).exit_status
    if check_settings:
        print(f"{settings}: the settings are valid")
        return 0
    application = Application(loaded)
    configure_logging(loaded.logs.level, loaded.vm.name, application.context.incarnation)
    status = asyncio.run(application.run())
    if status != 0:
        # An aborted shutdown leaves threads that wait for peers or workers. `os._exit` skips the
        # join of these threads, which would delay the exit.
        logging.shutdown()
        os._exit(status)
    return status


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(run_daemon))


if __name__ == "__main__":
    main()
