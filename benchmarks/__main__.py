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
MARKER = "<!-- measured -->"


def write_page(name: str, rows: list[Row], command: str) -> None:
    """Replace the measured part of a page and keep the notes below the second marker."""
    path = PAGES / f"{name}.md"
    notes = ""
    if path.exists():
        parts = path.read_text().split(MARKER)
        notes = parts[2] if len(parts) == 3 else ""
    today = datetime.date.today().isoformat()
    head = f"# Measurements: {name}\n\n{MARKER}\n\n"
    about = f"Command: `{command}`, {today}, Python {platform.python_version()}, one machine.\n\n"
    PAGES.mkdir(parents=True, exist_ok=True)
    path.write_text(f"{head}{about}{render(rows)}\n\n{MARKER}{notes or chr(10)}")


def main(*, seed: int = 1, quick: bool = False, only: str = "", write: bool = False) -> None:
    """Measure baseline and present version on the same seeded input.

    :param seed: seed of every input
    :param quick: run shorter inputs; the figures are then no reference
    :param only: run the modules whose name starts with this
    :param write: write the pages under docs/measurements
    """
    pages: dict[str, list[Row]] = {}
    for info in pkgutil.iter_modules(benchmarks.__path__):
        if info.name.startswith("_") or not info.name.startswith(only):
            continue
        module = importlib.import_module(f"benchmarks.{info.name}")
        rows = module.measure(seed, quick)
        pages.setdefault(module.PAGE, []).extend(rows)
        print(f"{info.name}: {len(rows)} rows", flush=True)
    print(render([row for rows in pages.values() for row in rows]))
    if write:
        command = f"python -m benchmarks --seed {seed}" + (" --quick" if quick else "")
        for name, rows in pages.items():
            write_page(name, rows, command)


if __name__ == "__main__":
    defopt.run(main)
