"""Runs every subject module and prints one table.

A subject module is a module of this package whose name has no leading underscore. It has
`measure(seed, quick) -> list[Row]` and `PAGE`, the name of its page under `docs/measurements/`.
"""

import datetime
import importlib
import pathlib
import pkgutil
import platform

import defopt

import benchmarks
from benchmarks._table import Row, render

PAGES = pathlib.Path("docs/measurements")


def write_section(page: str, module: str, rows: list[Row], command: str) -> None:
    """Replace the section of one module in its page, and keep everything else.

    Args:
        page: name of the page.
        module: name of the subject module.
        rows: what it measured.
        command: command that measures it again.
    """
    path = PAGES / f"{page}.md"
    begin, end = f"<!-- {module} -->", f"<!-- end of {module} -->"
    today = datetime.date.today().isoformat()
    about = f"Command: `{command}`, {today}, Python {platform.python_version()}, one machine."
    section = f"{begin}\n## {module}\n\n{about}\n\n{render(rows)}\n{end}"
    text = path.read_text() if path.exists() else f"# Measurements: {page}\n"
    if begin in text:
        head, rest = text.split(begin, 1)
        text = head + section + rest.split(end, 1)[1]
    else:
        text = f"{text}\n{section}\n"
    PAGES.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def main(*, seed: int = 1, quick: bool = False, only: str = "", write: bool = False) -> None:
    """Measure baseline and present version on the same seeded input.

    :param seed: seed of every input
    :param quick: run shorter inputs; the figures are then no reference
    :param only: run the modules whose name starts with this
    :param write: write the pages under docs/measurements
    """
    everything: list[Row] = []
    for info in pkgutil.iter_modules(benchmarks.__path__):
        if info.name.startswith("_") or not info.name.startswith(only):
            continue
        module = importlib.import_module(f"benchmarks.{info.name}")
        rows = module.measure(seed, quick)
        everything.extend(rows)
        print(f"{info.name}: {len(rows)} rows", flush=True)
        if write:
            command = f"python -m benchmarks --seed {seed} --only {info.name}"
            command += " --quick" if quick else ""
            write_section(module.PAGE, info.name, rows, command)
    print(render(everything))


if __name__ == "__main__":
    defopt.run(main)
