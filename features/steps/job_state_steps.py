"""Steps for the job states that callers get."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from fireflywharf_core.jobs import JobState
from fireflywharf_core.log import FinishedJob, LiveJob
from fireflywharf_daemon.application._jobs import JobService

HOME = "pacifico"


class LaggingFold:
    """Fold of one live job, whose end is set when the log is read to its end."""

    def __init__(self):
        self.job = LiveJob(
            spec=None, home_domain=HOME, accepted_utc_s=0.0, submission_digest="digest"
        )

    def lookup(self, job_id):
        """Return the only job, whatever the id."""
        return self.job


def make_service(context, is_log_readable):
    fold = LaggingFold()

    async def wait_until_read_to_end(since_s, timeout_s):
        if is_log_readable:
            fold.job = FinishedJob(JobState.DONE, late=False, detail="", offset=1)
        return is_log_readable

    membership = SimpleNamespace(remote_domains={})
    daemon_context = SimpleNamespace(domain="centro", now_s=lambda: 1.0)
    context.service = JobService(daemon_context, membership, fold, None, None)
    context.service.stream = SimpleNamespace(wait_until_read_to_end=wait_until_read_to_end)


@given("an entry VM that has not read the end of a job yet")
def make_lagging_service(context):
    make_service(context, is_log_readable=True)


@given("an entry VM that cannot read the end of a job")
def make_service_without_log(context):
    make_service(context, is_log_readable=False)


@when("a caller asks for the state while the scheduler of the job does not answer")
def query_status(context):
    context.status = asyncio.run(context.service.status("j-1", explain=False))


@then('the state is "{state}"')
def check_state(context, state):
    assert context.status.state.value == state, context.status
