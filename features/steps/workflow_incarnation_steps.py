"""Steps for the runs of a worker that starts again under its id."""

import attrs
from behave import given, then, when
from workflow_world import STEP_S, WorkflowWorld, make_step

from fireflywharf_core.workflows import (
    DirectoryChanged,
    EndKind,
    ReportedEnd,
    ReportedRun,
    StartAnswered,
    StartResult,
    StartRun,
    StopAnswered,
    StopRun,
    WorkerReported,
    WorkerSilent,
    WorkflowState,
)

EARLIER, LATER, THIRD = 1, 2, 3
POLL_S = 1.0
"""Time from the sending of the poll that is open when the task is started to the start order."""
ANSWER_S = 0.4
TOLERANCE_S = 2 * STEP_S


class ScriptedWorkers:
    """Scheduler of two workers, one of which does only what the scenario tells.

    The other one answers all orders and polls at once, and its runs do not end.
    """

    def __init__(self):
        self.world = WorkflowWorld(workers_count=2)
        self.polled_s = self.world.now_s
        self.other_rows = []
        self.actions = []
        self.order = None
        self.start_result = StartResult.STARTED

    def report(self, worker_id, incarnation, *, sent_s=None, running=(), ended=()):
        """Pass a report to the scheduler; by default, its poll was sent just now."""
        event = WorkerReported(
            worker_id=worker_id,
            incarnation=incarnation,
            sent_s=self.world.now_s if sent_s is None else sent_s,
            running=tuple(running),
            ended=tuple(ended),
        )
        self.world.scheduler.observe(event, self.world.now_s)

    def report_scripted(self, incarnation, **options):
        """Pass a report of the worker of the scenario to the scheduler."""
        self.report(self.order.worker_id, incarnation, **options)

    def publish_incarnation(self, incarnation):
        """Pass a directory with an incarnation of the worker of the scenario to the scheduler."""
        directory = {name: worker.info for name, worker in self.world.workers.items()}
        name = self.order.worker_id
        directory[name] = attrs.evolve(directory[name], incarnation=incarnation)
        self.world.scheduler.observe(DirectoryChanged(directory), self.world.now_s)

    def begin_incarnation(self, incarnation, by_report):
        """Let both workers report as their first incarnation, then show a further one of them."""
        for name in self.world.workers:
            self.report(name, EARLIER)
        self.world.now_s += POLL_S
        if by_report:
            for name in self.world.workers:
                self.report(name, incarnation)
        # A process gets runs only once the directory has shown it.
        for worker in self.world.workers.values():
            worker.info = attrs.evolve(worker.info, incarnation=incarnation)
        self.world.publish_directory()

    def answer(self, order):
        """Answer a start order; the worker of the scenario gives the result that it tells."""
        is_scripted = order.worker_id == self.order.worker_id
        result = self.start_result if is_scripted else StartResult.STARTED
        if is_scripted:
            self.answered_s = self.world.now_s
        event = StartAnswered(order.worker_id, order.task, order.number, result)
        self.world.scheduler.observe(event, self.world.now_s)

    def answer_stop(self):
        """Confirm the order to stop the run of the scenario."""
        event = StopAnswered(self.order.worker_id, self.order.task, self.order.number)
        self.world.scheduler.observe(event, self.world.now_s)

    def start_task(self, incarnation):
        """Let the scheduler start a task a while after both workers have reported."""
        # Nothing that an earlier scheduler may have started is alive any more.
        self.world.now_s += self.world.scheduler.timing.inherited_wait_s
        for name in self.world.workers:
            self.report(name, incarnation)
        self.polled_s = self.world.now_s
        self.world.now_s += POLL_S
        self.world.submit("a", [make_step(1)])
        self.world.record_progress()
        actions = self.world.scheduler.decide(self.world.now_s, 0.0)
        (self.order,) = (action for action in actions if isinstance(action, StartRun))
        self.world.now_s += ANSWER_S
        self.answer(self.order)

    def advance(self, seconds):
        """Advance the time while the other worker answers and reports."""
        (other,) = self.world.workers.keys() - {self.order.worker_id}
        for _ in range(round(seconds / STEP_S)):
            self.world.now_s += STEP_S
            self.report(other, self.world.workers[other].info.incarnation, running=self.other_rows)
            actions = self.world.scheduler.decide(self.world.now_s, 0.0)
            self.actions += actions
            for order in (action for action in actions if isinstance(action, StartRun)):
                self.answer(order)
                if order.worker_id == other:
                    self.other_rows.append(ReportedRun(order.task, order.number, "", 1))
            self.world.record_progress()

    def further_starts(self):
        """Return the start orders after the first one."""
        return [action for action in self.actions if isinstance(action, StartRun)]

    def running_rows(self):
        """Return the list of running runs that contains the run of the scenario."""
        return [ReportedRun(self.order.task, self.order.number, "", 1)]


@given("a task whose start one of 2 workers has answered")
def start_task(context):
    context.scripted = ScriptedWorkers()
    context.scripted.start_task(EARLIER)


@given("a task whose start has no answer, so that its worker is ordered to stop it")
def order_stop(context):
    scripted = context.scripted = ScriptedWorkers()
    scripted.start_result = StartResult.UNKNOWN
    scripted.start_task(EARLIER)
    scripted.advance(2.5)
    assert isinstance(scripted.actions[-1], StopRun), scripted.actions
    scripted.actions.clear()


@when("the worker answers the stop and restarts, and {source} shows the later incarnation")
def restart_after_stop(context, source):
    scripted = context.scripted
    scripted.answer_stop()
    if source == "the directory":
        scripted.publish_incarnation(LATER)
    else:
        scripted.report_scripted(LATER)


@then("the task waits for {seconds:g} s while the later incarnation reports no run")
def check_waiting(context, seconds):
    scripted = context.scripted
    for _ in range(round(seconds / POLL_S)):
        scripted.advance(POLL_S)
        scripted.report_scripted(LATER)
    assert not scripted.further_starts(), scripted.further_starts()


@when("the later incarnation answers the stop as well")
def answer_later_stop(context):
    scripted = context.scripted
    scripted.start_result = StartResult.STARTED
    scripted.answer_stop()
    scripted.advance(STEP_S)
    scripted.report_scripted(LATER)


@when("the other worker reports a run of the task as running, and then as done")
def report_other_run(context):
    scripted = context.scripted
    (other,) = scripted.world.workers.keys() - {scripted.order.worker_id}
    number = scripted.order.number + 1
    scripted.report(other, EARLIER, running=[ReportedRun(scripted.order.task, number, "", 1)])
    end = ReportedEnd(1, scripted.order.task, number, EndKind.DONE, "")
    scripted.report(other, EARLIER, ended=[end])
    scripted.advance(0.2)


@given("a task whose start one of 2 workers has left unanswered")
def start_unanswered(context):
    context.scripted = ScriptedWorkers()
    context.scripted.start_result = StartResult.UNKNOWN
    context.scripted.start_task(EARLIER)


@given(
    "a task on the third incarnation of a worker, which {source} has shown right after the first"
)
def start_on_third(context, source):
    scripted = context.scripted = ScriptedWorkers()
    scripted.begin_incarnation(THIRD, by_report=source == "a report")
    scripted.start_task(THIRD)
    scripted.report_scripted(THIRD, running=scripted.running_rows())
    scripted.advance(0.2)


@when("{source} shows the second incarnation")
def show_second(context, source):
    if source == "the directory":
        context.scripted.publish_incarnation(LATER)
    else:
        context.scripted.report_scripted(LATER, sent_s=context.scripted.polled_s)


@when("reports of the first incarnation arrive that were requested after that")
def report_first_again(context):
    for _ in range(2):
        context.scripted.advance(0.2)
        context.scripted.report_scripted(EARLIER)


@then("the worker is usable")
def check_usable(context):
    scripted = context.scripted
    worker = scripted.world.scheduler.workers[scripted.order.worker_id]
    assert worker.is_usable(scripted.world.now_s), worker


@given("a task that the first incarnation of a worker has reported as running")
def report_first(context):
    start_task(context)
    context.scripted.advance(0.2)
    context.scripted.report_scripted(EARLIER, running=context.scripted.running_rows())
    context.scripted.advance(0.2)


@given("a task that the later incarnation of a worker has confirmed")
def confirm_later(context):
    scripted = context.scripted = ScriptedWorkers()
    for worker in scripted.world.workers.values():
        worker.info = attrs.evolve(worker.info, incarnation=LATER)
    scripted.world.publish_directory()
    scripted.start_task(LATER)
    scripted.advance(0.2)


@given("a task that the later incarnation of a worker has confirmed and reported as running")
def report_later(context):
    confirm_later(context)
    report_running(context)


@when("the directory shows a later incarnation of that worker")
def publish_later(context):
    context.scripted.publish_incarnation(LATER)


@when("the directory shows the earlier incarnation again")
def publish_earlier(context):
    context.scripted.publish_incarnation(EARLIER)


@when("a report of the later incarnation that was requested before the start lacks the run")
def report_empty_early(context):
    context.scripted.report_scripted(LATER, sent_s=context.scripted.polled_s)


@when("a report of the later incarnation that was requested after the answer lacks the run")
def report_empty_later(context):
    context.scripted.report_scripted(LATER)


@when("a report of the earlier incarnation arrives late")
def report_earlier(context):
    context.scripted.report_scripted(EARLIER, sent_s=context.scripted.polled_s)


@when("the later incarnation reports the run as running")
def report_running(context):
    context.scripted.report_scripted(LATER, running=context.scripted.running_rows())
    context.scripted.advance(0.2)


@when("the {ordinal} incarnation reports the end of the run")
def report_end(context, ordinal):
    order = context.scripted.order
    end = ReportedEnd(1, order.task, order.number, EndKind.DONE, "")
    incarnation = {"later": LATER, "third": THIRD}[ordinal]
    context.scripted.report_scripted(incarnation, ended=[end])
    context.scripted.advance(0.2)


@then("the task is not started a second time within {seconds:g} s")
def check_not_started(context, seconds):
    context.scripted.advance(seconds)
    orders = [a for a in context.scripted.actions if isinstance(a, StartRun | StopRun)]
    assert not orders, f"run 1 is at work on {context.scripted.order.worker_id}: {orders}"


@then("the job is complete after one start")
def check_complete_once(context):
    assert not context.scripted.further_starts(), context.scripted.actions
    state = context.scripted.world.job_state("a")
    assert state is WorkflowState.COMPLETE, state


@then("the task is started a second time at once, under a higher number")
def check_started_again(context):
    context.scripted.advance(TOLERANCE_S)
    starts = context.scripted.further_starts()
    assert len(starts) == 1, context.scripted.actions
    assert starts[0].number > context.scripted.order.number, starts
    context.scripted.advance(1.0)
    assert context.scripted.further_starts() == starts, context.scripted.further_starts()


@when("that worker answers no poll that was sent after the start")
def silence_scripted(context):
    scripted = context.scripted
    for _ in range(40):
        silence = WorkerSilent(scripted.order.worker_id, scripted.polled_s)
        scripted.world.scheduler.observe(silence, scripted.world.now_s)
        scripted.advance(0.25)


@then(
    "the task is started a second time within {seconds:g} s after a full lease from the answer,"
    " not earlier"
)
def check_lease(context, seconds):
    scripted = context.scripted
    timing = scripted.world.scheduler.timing
    lease_s = timing.task_lease_s * (1 + timing.clock_drift) + timing.network_margin_s
    first = scripted.order.number
    starts = [order for order in scripted.further_starts() if order.number > first]
    assert len(starts) == 1, starts
    waited_s = starts[0].ordered_s - scripted.answered_s
    assert lease_s <= waited_s <= lease_s + seconds, f"started after {waited_s:.2f} s"


@given("a job that an earlier scheduler has started on one of 2 workers")
def start_inherited(context):
    world = context.world = WorkflowWorld(workers_count=2)
    for worker in world.workers.values():
        worker.run_time_s = 60.0
    world.submit("a", [make_step(1)])
    world.run(1.0)
    (context.order,) = (action for action in world.actions if isinstance(action, StartRun))


@when("a new scheduler sees that worker restart in the directory and leave it without a report")
def restart_and_leave(context):
    world, order = context.world, context.order
    worker = world.workers[order.worker_id]
    worker.reachable = False
    world.begin_tenure()
    context.began_s = world.now_s
    world.run(0.5)
    worker.restart()
    worker.start(order, 1, world.now_s)
    world.publish_directory()
    world.run(0.5)
    world.unlisted_workers.add(order.worker_id)
    world.publish_directory()


@then("the job is started again after the wait for silent workers, not earlier")
def check_inherited_start(context):
    world = context.world
    wait_s = world.scheduler.timing.inherited_wait_s
    world.run(wait_s + 1.0)
    starts = [action for action in world.actions if isinstance(action, StartRun)]
    assert len(starts) == 2, starts
    waited_s = starts[1].ordered_s - context.began_s
    assert waited_s >= wait_s, f"started after {waited_s:.2f} s; {world.violations}"


@when("that worker becomes silent")
def silence_scripted_worker(context):
    scripted = context.scripted
    event = WorkerSilent(scripted.order.worker_id, scripted.world.now_s)
    scripted.world.scheduler.observe(event, scripted.world.now_s)


@then("the order is not repeated within {seconds:g} s")
def check_not_repeated(context, seconds):
    context.scripted.advance(seconds)
    assert not context.scripted.further_starts(), context.scripted.further_starts()
