"""Steps for the states of jobs that callers are told."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from fireflywharf_core.jobs import JobState
from fireflywharf_core.log import FinishedJob, LiveJob
from fireflywharf_daemon.application._jobs import JobService

HOME = "pacifico"


class LaggingFold:
    """A fold that knows the end of its only job once the log was read."""

    def __init__(self):
        self.job = LiveJob(
            spec=None, home_domain=HOME, accepted_utc_s=0.0, submission_digest="digest"
        )

    def lookup(self, job_id):
        """Return the job."""
        return self.job


def make_service(context, readable):
    fold = LaggingFold()

    async def wait_until_read_to_end(since_s, timeout_s):
        if readable:
            fold.job = FinishedJob(JobState.DONE, late=False, detail="", offset=1)
        return readable

    membership = SimpleNamespace(remote_domains={})
    surroundings = SimpleNamespace(domain="centro", now_s=lambda: 1.0)
    context.service = JobService(surroundings, membership, fold, None, None)
    context.service.stream = SimpleNamespace(wait_until_read_to_end=wait_until_read_to_end)


@given("an entry VM that has not read the end of a job yet")
def lagging(context):
    make_service(context, readable=True)


@given("an entry VM that cannot read the end of a job")
def unreadable(context):
    make_service(context, readable=False)


@when("a caller asks for the state while the scheduler of the job does not answer")
def ask(context):
    context.status = asyncio.run(context.service.status("j-1", explain=False))


@then('the state is "{state}"')
def check_state(context, state):
    assert context.status.state.value == state, context.status
