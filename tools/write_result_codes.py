"""Writes docs/result-codes.md from the table of result codes."""

import pathlib
import sys

from tabulate import tabulate

from fireflywharf_core.results import CodeClass, ResultCode, describe_code

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "result-codes.md"
CLASS_MEANINGS = {
    CodeClass.COMPLETED: "The work ran to its end, or the call succeeded. The answer is whole.",
    CodeClass.PENDING: "The work was taken over and has not ended yet.",
    CodeClass.NOT_RUN: "The work did not run and will not run. A repeat cannot run it twice.",
    CodeClass.UNKNOWN: "The work may or may not have run. Ask with the same key; use no new key.",
    CodeClass.INVALID: "The input is not valid. Nothing was changed and nothing ran.",
    CodeClass.LOCAL: "The error is one of the program that reports it, not of the work.",
}
INTRODUCTION = """\
# Result codes

<!-- Written by tools/write_result_codes.py from fireflywharf_core.results; do not edit. -->

Every answer of the daemon and every JSON output of the command line carries `code`, `name` and
`class`. The number of a code never changes and is never reused. The class tells what may be
concluded:
"""
CODES_INTRODUCTION = """\
"Exit" is the exit status of `fireflywharf`. "Repeat" tells whether sending the same input again can
help. Exit status 130 means that the command line was interrupted; if the interrupted call may have
had an effect, the status is 40 instead.
"""


def format_markdown(rows: list[list[str]], headers: list[str]) -> str:
    """Return the rows as a Markdown table."""
    return tabulate(rows, headers=headers, tablefmt="github", disable_numparse=True)


def render_page() -> str:
    """Return the text of docs/result-codes.md."""
    classes = [[f"`{kind.value}`", meaning] for kind, meaning in CLASS_MEANINGS.items()]
    codes = []
    for code in ResultCode:
        info = describe_code(code)
        codes.append(
            [
                str(int(code)),
                f"`{code.name}`",
                info.code_class.value,
                str(info.http_status),
                str(info.exit_status),
                "yes" if info.retryable else "no",
                info.meaning,
            ]
        )
    headers = ["code", "name", "class", "HTTP", "exit", "repeat", "meaning"]
    parts = [
        INTRODUCTION,
        format_markdown(classes, ["class", "meaning"]),
        f"\n## Codes\n\n{CODES_INTRODUCTION}",
        format_markdown(codes, headers),
    ]
    return "\n".join(parts) + "\n"


def main() -> int:
    """Write the page and return exit status 0."""
    PAGE.write_text(render_page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
