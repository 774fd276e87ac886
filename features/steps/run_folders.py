"""Folders with the settings and logs of test processes, which are kept if a scenario fails."""

import atexit
import os
import pathlib
import re
import shutil
import tempfile
import time

KEPT_RUNS = pathlib.Path(__file__).resolve().parents[2] / "target" / "failed"
"""Parent of the kept folders; git ignores it."""
KEPT_RUNS_MAX = 20
"""Number of failed runs whose folders are kept; those of older ones are removed."""

_folders = set()


def create_run_folder():
    """Return a new temporary folder that `keep_run_folders` copies while it exists."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflywharf-"))
    _folders.add(folder)
    return folder


def remove_run_folder(folder):
    """Remove a folder of `create_run_folder`."""
    _folders.discard(folder)
    shutil.rmtree(folder, ignore_errors=True)


def keep_run_folders(name):
    """Copy all existing run folders of this process, and return the paths of the copies.

    Args:
        name: name of the failed run; becomes part of the paths.
    """
    slug = re.sub(r"[^a-z0-9]+", "-", name.lower())[:60].strip("-")
    run = KEPT_RUNS / f"{time.strftime('%Y%m%dT%H%M%S')}-{slug}-{os.getpid()}"
    kept = []
    for index, folder in enumerate(sorted(_folders)):
        path = run / str(index)
        shutil.copytree(folder, path, dirs_exist_ok=True, ignore_dangling_symlinks=True)
        kept.append(path)
    remove_old_runs()
    return kept


def remove_old_runs():
    """Remove the folders of the oldest failed runs; their names begin with the time."""
    runs = sorted(KEPT_RUNS.iterdir(), reverse=True) if KEPT_RUNS.is_dir() else []
    for run in runs[KEPT_RUNS_MAX:]:
        # Features that run at the same time may remove it as well.
        shutil.rmtree(run, ignore_errors=True)


@atexit.register
def _remove_all():
    for folder in list(_folders):
        remove_run_folder(folder)
