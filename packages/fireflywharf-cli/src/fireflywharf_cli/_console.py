"""Output of the command line."""

import json
import sys
from typing import TextIO

from ._outcomes import CommandOutcome, Failure, Report


class Console:
    """Writes outcomes as text for a person or as JSON for a program.

    In the form `json`, standard output carries one JSON object for each outcome and nothing else.

    Args:
        output: `table` or `json`.
        stdout: stream of results.
        stderr: stream of errors in the form `table`.
    """

    def __init__(
        self, output: str, stdout: TextIO | None = None, stderr: TextIO | None = None
    ) -> None:
        self.output = output
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr

    def print_text(self, text: str) -> None:
        """Write text for a person; nothing in the form `json`."""
        if self.output == "table":
            print(text, file=self.stdout, flush=True)

    def clear_screen(self) -> None:
        """Clear the terminal, if the output is one."""
        if self.output == "table" and self.stdout.isatty():
            print("\x1b[2J\x1b[H", end="", file=self.stdout)

    def write(self, outcome: CommandOutcome) -> None:
        """Write the outcome of a command."""
        match outcome:
            case Report(_, document, _) if self.output == "json":
                print(json.dumps(document), file=self.stdout, flush=True)
            case Failure() if self.output == "json":
                print(json.dumps(outcome.to_document()), file=self.stdout, flush=True)
            case Report(_, _, text):
                self.print_text(text)
            case Failure():
                print(outcome.to_text(), file=self.stderr, flush=True)
