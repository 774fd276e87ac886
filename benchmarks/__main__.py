"""Runs all benchmark modules of this package and prints their results as one table.

A benchmark module has no leading underscore in its name. It defines
`measure(seed, quick) -> list[Row]` and `PAGE`, the name of its page under `docs/measurements/`.
"""

import datetime
import importlib
import pathlib
import pkgutil
import platform

import defopt

import benchmarks
from benchmarks._table import Row, render_table

PAGES_FOLDER = pathlib.Path("docs/measurements")


def write_section(page: str, module: str, rows: list[Row], command: str) -> None:
    """Replace the section of one benchmark module in its page, and keep the other sections.

    Args:
        page: name of the page without its suffix.
        module: name of the benchmark module.
        rows: results of the module.
        command: command that repeats the measurement; printed in the section.
    """
    path = PAGES_FOLDER / f"{page}.md"
    begin_marker, end_marker = f"<!-- {module} -->", f"<!-- end of {module} -->"
    today = datetime.date.today().isoformat()
    caption = f"Command: `{command}`, {today}, Python {platform.python_version()}, one machine."
    section = f"{begin_marker}\n## {module}\n\n{caption}\n\n{render_table(rows)}\n{end_marker}"
    text = path.read_text() if path.exists() else f"# Measurements: {page}\n"
    if begin_marker in text:
        text_before, text_after = text.split(begin_marker, 1)
        text = text_before + section + text_after.split(end_marker, 1)[1]
    else:
        text = f"{text}\n{section}\n"
    PAGES_FOLDER.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def main(*, seed: int = 1, quick: bool = False, only: str = "", write: bool = False) -> None:
    """Measure the baseline and the present version with the same seeded input.

    Args:
        seed: seed of all inputs.
        quick: run with smaller inputs; don't use the figures as a reference.
        only: run only the modules whose name starts with this text.
        write: write the pages under docs/measurements.
    """
    all_rows: list[Row] = []
    for module_info in pkgutil.iter_modules(benchmarks.__path__):
        if module_info.name.startswith("_") or not module_info.name.startswith(only):
            continue
        module = importlib.import_module(f"benchmarks.{module_info.name}")
        rows = module.measure(seed, quick)
        all_rows.extend(rows)
        print(f"{module_info.name}: {len(rows)} rows", flush=True)
        if write:
            command = f"python -m benchmarks --seed {seed} --only {module_info.name}"
            command += " --quick" if quick else ""
            write_section(module.PAGE, module_info.name, rows, command)
    print(render_table(all_rows))


if __name__ == "__main__":
    defopt.run(main)
