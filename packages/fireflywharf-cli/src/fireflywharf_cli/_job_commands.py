"""Commands for jobs."""

from typing import Any

from fireflywharf_core.jobs import JobState, derive_job_id, parse_job
from fireflywharf_core.results import ResultCode, describe_code

from ._answers import JobAnswer, JobsAnswer
from ._calls import convert_read_outcome, convert_write_outcome
from ._client import DaemonClient, build_path
from ._files import find_non_finite_numbers, read_object
from ._outcomes import CommandOutcome, Failure, Report
from ._tables import format_fields, format_objects, format_value

CODES_BY_STATE = {
    JobState.FAILED.value: ResultCode.JOB_FAILED,
    JobState.CANCELLED.value: ResultCode.JOB_CANCELLED,
    JobState.UNKNOWN.value: ResultCode.OUTCOME_UNKNOWN,
}


def read_job(path: str, key: str) -> dict[str, Any] | Failure:
    """Read and validate a job file.

    Args:
        path: path of a TOML file, or of a JSON file if it ends in `.json`.
        key: key that replaces the one in the file, unless empty.

    Returns:
        The body of the submission, or a failure with all problems.
    """
    data = read_object(path, ResultCode.INVALID_FIELD)
    if isinstance(data, Failure):
        return data
    if key:
        data = data | {"key": key}
    spec, problems = parse_job(data)
    problems = [*problems, *find_non_finite_numbers(data, ResultCode.INVALID_FIELD)]
    if spec is None or problems:
        return Failure(ResultCode.INVALID_FIELD, f"file {path}", tuple(problems))
    return data


def format_job(answer: JobAnswer) -> str:
    """Format the fields of a job that are not None."""
    names = JobAnswer.__attrs_attrs__
    values = {item.name: getattr(answer, item.name) for item in names}
    return format_fields({name: value for name, value in values.items() if value is not None})


class JobCommands:
    """Subcommands of `job`.

    Args:
        client: client of the daemon.
    """

    def __init__(self, client: DaemonClient) -> None:
        self.client = client

    def submit(self, file: str, *, key: str = "") -> CommandOutcome:
        """Submit a job; submitting it again with the same key and content does not run it twice.

        Args:
            file: TOML file, or JSON file if its name ends in .json
            key: unique key of the job; replaces the key in the file

        Returns:
            The job and whether it is expected to miss its deadline.
        """
        job = read_job(file, key)
        if isinstance(job, Failure):
            return job
        job_id = derive_job_id(job["customer"], job["key"])
        recovery_advice = (
            f"check the outcome with: fireflywharf job status {job_id}; or submit again with the "
            f"same key {job['key']!r}, which cannot run the job twice"
        )
        outcome = self.client.write("POST", build_path("jobs"), job)
        return convert_write_outcome(outcome, JobAnswer, format_job, recovery_advice)

    def status(self, job: str) -> CommandOutcome:
        """Show the state of a job; the exit status shows whether it failed or was cancelled.

        Args:
            job: identifier of the job

        Returns:
            The state of the job and its numbers of tasks.
        """
        outcome = convert_read_outcome(
            self.client.read(build_path("jobs", job)), JobAnswer, format_job
        )
        return _replace_code_by_job_state(outcome)

    def cancel(self, job: str) -> CommandOutcome:
        """Cancel a job.

        Args:
            job: identifier of the job

        Returns:
            The state of the job.
        """
        outcome = self.client.write("POST", build_path("jobs", job, "cancel"), {})
        recovery_advice = (
            f"check the outcome with: fireflywharf job status {job}; cancelling again is harmless"
        )
        return convert_write_outcome(outcome, JobAnswer, format_job, recovery_advice)

    def list_all(self, *, customer: str = "") -> CommandOutcome:
        """List jobs.

        Args:
            customer: show only jobs of this customer

        Returns:
            One row for each job.
        """
        outcome = self.client.read(build_path("jobs", customer=customer))
        return convert_read_outcome(outcome, JobsAnswer, _format_jobs)

    def explain(self, job: str) -> CommandOutcome:
        """Explain in one sentence why a job is waiting, or its outcome.

        Args:
            job: identifier of the job

        Returns:
            The explanation.
        """
        outcome = self.client.read(build_path("jobs", job, "explain"))
        return convert_read_outcome(
            outcome,
            JobAnswer,
            lambda answer: f"{answer.job_id}: {answer.state}: {format_value(answer.explanation)}",
        )


def _replace_code_by_job_state(outcome: CommandOutcome) -> CommandOutcome:
    """Replace the code `OK` of the call with the code of the job state."""
    if not isinstance(outcome, Report) or outcome.code is not ResultCode.OK:
        return outcome
    code = CODES_BY_STATE.get(outcome.document["state"], ResultCode.OK)
    fields = {
        "code": int(code),
        "name": code.name,
        "class": describe_code(code).code_class.value,
    }
    return Report(code, outcome.document | fields, outcome.text)


def _format_jobs(answer: JobsAnswer) -> str:
    columns = ("job_id", "customer", "kind", "state", "home_domain", "late")
    rows = [{name: getattr(job, name) for name in columns} for job in answer.jobs]
    return format_objects(rows, columns)
