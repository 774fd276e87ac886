"""Run the command line for the features."""

import contextlib
import io
import os
import subprocess
import sys
from unittest import mock

from fireflywharf_cli.main import main


def run_cli(context, arguments):
    """Run the command line in this process, in the folder of the scenario.

    Sets `context.status` to the exit status and `context.output` and `context.errors` to what was
    written to standard output and standard error.
    """
    output, errors = io.StringIO(), io.StringIO()
    environment = {"FIREFLYWHARF_SERVER": context.server.address, "USER": "operator"}
    with (
        mock.patch.object(sys, "argv", ["fireflywharf", *arguments]),
        mock.patch.dict(os.environ, environment),
        contextlib.chdir(context.folder),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        try:
            context.status = main()
        except SystemExit as stop:
            context.status = stop.code
    context.output, context.errors = output.getvalue(), errors.getvalue()


def run_concurrent_applies(context, arguments_of_applies):
    """Run `contract apply` once per argument list, in concurrent processes.

    Sets `context.applies` to the output and exit status of each process.
    """
    environment = os.environ | {"FIREFLYWHARF_SERVER": context.server.address}
    command = [sys.executable, "-m", "fireflywharf_cli.main", "--output", "json"]
    applies = [
        subprocess.Popen(
            [*command, "contract", "apply", *arguments],
            cwd=context.folder,
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
        )
        for arguments in arguments_of_applies
    ]
    context.applies = [
        (process.communicate(timeout=30)[0], process.returncode) for process in applies
    ]
