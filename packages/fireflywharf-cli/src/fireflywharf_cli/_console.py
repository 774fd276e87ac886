"""Output of command outcomes."""

import json
import sys
from typing import TextIO

from ._outcomes import CommandOutcome, Failure, Report


class Console:
    """Writes outcomes as text for people or as JSON for programs.

    With the format `json`, standard output contains one JSON object for each outcome and nothing
    else.

    Args:
        output: output format, `table` or `json`.
        stdout: stream for results; standard output by default.
        stderr: stream for errors in the format `table`; standard error by default.
    """

    def __init__(
        self, output: str, stdout: TextIO | None = None, stderr: TextIO | None = None
    ) -> None:
        self.output = output
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr

    def print_text(self, text: str) -> None:
        """Print text in the format `table`; print nothing in the format `json`."""
        if self.output == "table":
            print(text, file=self.stdout, flush=True)

    def clear_screen(self) -> None:
        """Clear the screen if the format is `table` and standard output is a terminal."""
        if self.output == "table" and self.stdout.isatty():
            print("\x1b[2J\x1b[H", end="", file=self.stdout)

    def write(self, outcome: CommandOutcome) -> None:
        """Write the outcome of a command in the selected format."""
        match outcome:
            case Report(_, document, _) if self.output == "json":
                print(json.dumps(document), file=self.stdout, flush=True)
            case Failure() if self.output == "json":
                print(json.dumps(outcome.to_document()), file=self.stdout, flush=True)
            case Report(_, _, text):
                self.print_text(text)
            case Failure():
                print(outcome.to_text(), file=self.stderr, flush=True)
