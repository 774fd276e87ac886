"""Hooks of behave: the logs of a failed scenario are kept."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parent / "steps"))


def after_step(context, step):
    """Keep the folders with logs if a step fails, and say so in its message."""
    from run_folders import keep_run_folders

    if step.status.name not in ("failed", "error"):
        return
    for path in keep_run_folders(step.name):
        step.error_message = f"{step.error_message or ''}\nlogs are kept in {path}"
