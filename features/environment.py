"""Hooks of behave: the logs of a failed scenario are kept."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parent / "steps"))


def after_step(context, step):
    """Keep the folders with logs if a step fails, and say so.

    behave replaces the message of the step after this hook, so the report of the checks adds the
    paths from `kept_folders`; a run of behave alone shows the printed lines.
    """
    from run_folders import keep_run_folders

    if step.status.name not in ("failed", "error"):
        return
    step.kept_folders = keep_run_folders(context.scenario.name)
    for path in step.kept_folders:
        print(f"logs are kept in {path}")
