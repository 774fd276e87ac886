"""Commands that read the log files of daemons."""

import collections
import datetime
import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from fireflywharf_core.results import ResultCode

from ._files import build_unreadable_file_failure
from ._outcomes import CommandOutcome, Failure, Report, build_usage_failure
from ._tables import format_table, format_value

JOB_ID_FIELDS = ("job_id", "run", "step")
"""Log fields that contain the identifier of a job or of a part of it."""
STANDARD_FIELDS = ("time", "level", "logger", "message", "vm", "incarnation")
PART_SEPARATOR = "."
"""Separator between the identifier of a job and the numbers of its parts."""


@attrs.define
class JobTimeline:
    """Log lines about one job and about its VMs and workers in the same period.

    Args:
        job_id: identifier of the job.

    Attributes:
        job_lines_: lines that contain the identifier of the job.
        unattributed_lines_: lines that contain no job identifier.
        unreadable_count_: number of lines that are not JSON objects with `time` and `message`.
    """

    job_id: str
    job_lines_: list[dict[str, Any]] = attrs.field(factory=list)
    unattributed_lines_: list[dict[str, Any]] = attrs.field(factory=list)
    unreadable_count_: int = 0

    def read(self, text_lines: Iterable[str]) -> None:
        """Parse and classify log lines; text before the first brace of a line is ignored."""
        for text in text_lines:
            line = _parse_line(text)
            if line is None:
                self.unreadable_count_ += bool(text.strip())
            elif any(self._identifies_job(line.get(field)) for field in JOB_ID_FIELDS):
                self.job_lines_.append(line)
            elif not any(field in line for field in JOB_ID_FIELDS):
                self.unattributed_lines_.append(line)

    def select_lines(self) -> list[dict[str, Any]]:
        """Return the lines about the job and their context, ordered by time.

        The context consists of the lines without a job identifier between the start and the last
        line of the job that are about one of its workers, or that are about no worker and come
        from one of its VMs. If the first line of the job has a duration, as for a submission, the
        start is earlier by that duration. Repeated context lines are merged.
        """
        if not self.job_lines_:
            return []
        vm_names = {line.get("vm") for line in self.job_lines_}
        worker_names = {line["worker"] for line in self.job_lines_ if "worker" in line}
        first = min(self.job_lines_, key=lambda line: line["time"])
        start = _get_start_time(first)
        end = max(line["time"] for line in self.job_lines_)
        context_lines = [
            line
            for line in self.unattributed_lines_
            if start <= line["time"] <= end
            and (line["worker"] in worker_names if "worker" in line else line.get("vm") in vm_names)
        ]
        return sorted(
            [*self.job_lines_, *_merge_repeats(context_lines)], key=lambda line: line["time"]
        )

    def _identifies_job(self, value: Any) -> bool:
        """Return whether a value is the identifier of the job or of a part of it."""
        return isinstance(value, str) and value.partition(PART_SEPARATOR)[0] == self.job_id


def explain_log(job: str, *files: str) -> CommandOutcome:
    """Show the log lines about a job from the log files of several VMs, ordered by time.

    Args:
        job: identifier of the job
        files: log files of any number of VMs; standard input by default

    Returns:
        All lines about the job, and those about its VMs and workers in the same period.
    """
    if not job:
        return build_usage_failure("JOB", job, "an identifier")
    timeline = JobTimeline(job)
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as lines:
                timeline.read(lines)
        except (OSError, ValueError) as error:
            return build_unreadable_file_failure("FILES", file, error)
    if not files:
        timeline.read(sys.stdin)
    lines = timeline.select_lines()
    unreadable = f"{timeline.unreadable_count_} lines could not be read"
    if not lines:
        return Failure(
            ResultCode.UNKNOWN_JOB,
            f"no line of the log names {job}; {unreadable}",
            advice="Pass the log files of all VMs, starting from the time of the submission.",
        )
    document = {
        "code": int(ResultCode.OK),
        "job_id": job,
        "lines": lines,
        "unreadable_count": timeline.unreadable_count_,
    }
    rows = [
        [line["time"], line.get("vm"), line["message"], _format_details(line)] for line in lines
    ]
    text = format_table(rows, ["time", "vm", "message", "details"])
    if timeline.unreadable_count_:
        text = f"{text}\n{unreadable}"
    return Report(ResultCode.OK, document, text)


def _parse_line(text: str) -> dict[str, Any] | None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except (ValueError, RecursionError):
        return None
    if not isinstance(line, dict):
        return None
    is_log_line = all(isinstance(line.get(field), str) for field in ("time", "message"))
    return line if is_log_line else None


def _get_start_time(line: dict[str, Any]) -> str:
    """Return the time of a line minus its duration `ms`, if any, in the same format."""
    duration_ms = line.get("ms")
    if not isinstance(duration_ms, int | float):
        return line["time"]
    try:
        start = datetime.datetime.fromisoformat(line["time"]) - datetime.timedelta(
            milliseconds=duration_ms
        )
    except (ValueError, OverflowError):
        return line["time"]
    return start.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _merge_repeats(lines: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Yield the first line for each VM, message and worker, with the number of omitted repeats."""
    groups = collections.defaultdict(list)
    for line in lines:
        groups[(str(line.get("vm")), line["message"], str(line.get("worker")))].append(line)
    for group in groups.values():
        first = min(group, key=lambda line: line["time"])
        yield first if len(group) == 1 else first | {"repeated": len(group) - 1}


def _format_details(line: dict[str, Any]) -> str:
    fields = {field: value for field, value in line.items() if field not in STANDARD_FIELDS}
    return " ".join(f"{field}={format_value(value)}" for field, value in fields.items())
