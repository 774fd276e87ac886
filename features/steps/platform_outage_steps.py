"""Steps for daemon processes that the store turns away."""

import threading
import time
from types import SimpleNamespace

import urllib3
from behave import given, then, when
from platform_processes import PlatformDaemon, PlatformDeployment, wait_for

from fireflywharf_testing.platform_stand_ins import GateMode, StoreGate

PAUSE_S = 0.25
STEPS = [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 200}]


class GatedDeployment(PlatformDeployment):
    """Daemons that reach the store through a gate each."""

    def __init__(self, daemons_count):
        super().__init__(0, work_s=0.1)
        self.gates = {}
        for index in range(daemons_count):
            gate = StoreGate(self.world.store)
            address, _ = self.world.add_store_server(gate)
            world = SimpleNamespace(store_address=address, advice_address=self.world.advice_address)
            daemon = PlatformDaemon(f"vm-{index}", world, str(self.folder))
            self.daemons.append(daemon)
            self.gates[daemon.name] = gate

    def set_mode(self, daemon, mode):
        """Set how the store treats a VM."""
        self.world.call(setattr, self.gates[daemon.name], "mode", GateMode(mode))

    def forwarded(self, daemon):
        """Return the log lines of the calls that a VM has forwarded."""
        return [row for row in daemon.read_log_lines() if row["message"] == "call forwarded"]


class Submitter:
    """Submits a job to each of some VMs at regular times, and records the answers."""

    def __init__(self, daemons, first_id=0):
        self.daemons, self.answers, self.threads = daemons, [], []
        self.number = first_id
        self.begin_s = time.monotonic()

    def submit(self, daemon):
        """Submit a job in a thread of its own."""
        self.number += 1
        arguments = (daemon, f"{self.number:016x}")
        self.threads.append(threading.Thread(target=self._call, args=arguments))
        self.threads[-1].start()

    def _call(self, daemon, job_id):
        sent_s = time.monotonic()
        status, _, headers = daemon.call("POST", f"/jobs/{job_id}", {"spec": "x", "steps": STEPS})
        now_s = time.monotonic()
        row = SimpleNamespace(
            job_id=job_id,
            status=status,
            at_s=sent_s - self.begin_s,
            took_s=now_s - sent_s,
            retry_after_s=int(headers.get("Retry-After", 0)),
        )
        self.answers.append(row)

    def run(self, seconds, check=lambda: None):
        """Submit jobs for some seconds, and call `check` after each one."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            for daemon in self.daemons:
                self.submit(daemon)
            check()
            time.sleep(PAUSE_S)

    def join(self):
        """Wait for all answers and return them."""
        for thread in self.threads:
            thread.join()
        return self.answers


@given("{count:d} daemons with their own access to the store")
def start_gated(context, count):
    context.deployment = GatedDeployment(count)
    context.add_cleanup(context.deployment.close)
    context.deployment.start()
    context.scheduler = wait_for(context.deployment.scheduler, 5.0, "no scheduler")
    # Every VM has to read the addresses of the others before it is cut off.
    keys = {f"v{daemon.name}" for daemon in context.deployment.daemons}
    journal = context.deployment.world.store.topic("keyed.journal").newest_by_key
    wait_for(lambda: keys <= set(journal), 10.0, "a VM has not announced itself")
    time.sleep(1.0)


@when(
    'a VM that is not the scheduler gets "{mode}" from the store for {seconds:g} s'
    " while jobs are submitted to it"
)
def turn_away(context, mode, seconds):
    deployment = context.deployment
    daemon = context.daemon = next(d for d in deployment.daemons if d is not context.scheduler)
    deployment.set_mode(daemon, mode)
    context.submitter = Submitter([daemon])
    context.not_ready_count, context.calls = 0, []

    def check():
        context.not_ready_count += not daemon.is_ready()

    context.submitter.run(seconds, check)
    job_id = f"{1:016x}"
    for method, path in (("GET", job_id), ("GET", ""), ("DELETE", job_id)):
        started_s = time.monotonic()
        status, body, _ = daemon.call(method, f"/jobs/{path}")
        context.calls.append((method, status, body, time.monotonic() - started_s))
    context.answers = context.submitter.join()
    context.samples = [read_metrics(daemon) for daemon in deployment.daemons]
    deployment.set_mode(daemon, "open")


def read_metrics(daemon):
    """Return the samples of the metrics endpoint of a daemon by name and labels."""
    with urllib3.PoolManager(retries=False) as pool:
        url = f"http://127.0.0.1:{daemon.metrics_port}/metrics"
        text = pool.request("GET", url, timeout=2.0).data.decode()
    rows = (line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
    return {name: float(value) for name, value in rows}


@then("the metrics count these calls at the VM and at its peers, and the length of the outage")
def check_metrics(context):
    forwarded, taken = (
        f'fireflywharf_{name}_calls_total{{result="answered"}}' for name in ("forwarded", "taken")
    )
    daemons = context.deployment.daemons
    own = context.samples[daemons.index(context.daemon)]
    forwarded_count = own[forwarded]
    assert forwarded_count > 3, own
    assert sum(sample.get(taken, 0.0) for sample in context.samples) >= forwarded_count
    assert own["fireflywharf_log_outage_seconds"] > 2.0, own
    assert not any(
        sample["fireflywharf_log_outage_seconds"] for sample in context.samples if sample is not own
    )


@then("every submission was accepted within {limit_s:g} s and the VM stayed ready")
def check_all_accepted(context, limit_s):
    rows = [row for row in context.answers if row.status != 200 or row.took_s > limit_s]
    assert not rows, rows
    assert context.not_ready_count == 0, context.not_ready_count


@then("queries, counts and cancellations at the VM were answered within {limit_s:g} s")
def check_calls(context, limit_s):
    (_, *state), (_, *count), (_, *cancel) = context.calls
    assert state[:2] == [200, {"state": "complete"}], state
    assert count[0] == 200 and "pending" in count[1], count
    assert cancel[0] == 200, cancel
    assert max(call[3] for call in context.calls) < limit_s, context.calls


@then("the VM logged each forwarded call with job id, peer, result and duration")
def check_forward_lines(context):
    lines = context.deployment.forwarded(context.daemon)
    for line in lines:
        assert {"job_id", "peer", "result", "ms"} <= line.keys(), line
    forwarded_ids = {line["job_id"] for line in lines if line["result"] == "answered"}
    late_ids = {row.job_id for row in context.answers if 1.7 < row.at_s < 3.8}
    assert late_ids and late_ids <= forwarded_ids, late_ids - forwarded_ids


@then("from {pause_s:g} s after the outage the VM serves its callers by itself")
def check_own_service(context, pause_s):
    time.sleep(pause_s)
    before_count = len(context.deployment.forwarded(context.daemon))
    submitter = Submitter([context.daemon], first_id=1000)
    submitter.run(1.0)
    rows = submitter.join()
    assert all(row.status == 200 for row in rows), rows
    time.sleep(0.3)
    assert len(context.deployment.forwarded(context.daemon)) == before_count
    context.answers += rows


@then("every accepted job ran exactly once")
def check_ran_once(context):
    executors = context.deployment.world.executors
    accepted = {f"{row.job_id}" for row in context.answers if row.status == 200}

    def done():
        return [row[0] for executor in executors for row in executor.history if row[2] == "done"]

    wait_for(lambda: len(done()) >= len(accepted) - 1, 5.0, "jobs are missing")
    time.sleep(0.5)
    assert len(set(done())) == len(done()), done()


@when("{count:d} jobs are submitted to each VM")
def submit_healthy(context, count):
    context.submitter = Submitter(context.deployment.daemons)
    context.submitter.run(count * PAUSE_S)
    assert all(row.status == 200 for row in context.submitter.join())


@then("no VM has forwarded a call")
def check_none_forwarded(context):
    time.sleep(0.3)
    for daemon in context.deployment.daemons:
        assert not context.deployment.forwarded(daemon), daemon.name


@when('all VMs get "{mode}" from the store for {seconds:g} s while jobs are submitted to them')
def turn_all_away(context, mode, seconds):
    deployment = context.deployment
    for daemon in deployment.daemons:
        deployment.set_mode(daemon, mode)
    context.submitter = Submitter(deployment.daemons)
    context.submitter.run(seconds)
    for daemon in deployment.daemons:
        deployment.set_mode(daemon, "open")
    context.returned_s = time.monotonic()
    context.seconds = seconds


@then(
    "from {known_s:g} s on each submission is rejected within {limit_s:g} s,"
    " and the last retry delays are {low_s:d} to {high_s:d} s"
)
def check_all_rejected(context, known_s, limit_s, low_s, high_s):
    rows = [row for row in context.submitter.join() if row.at_s < context.seconds - limit_s]
    late = [row for row in rows if row.at_s >= known_s]
    wrong = [row for row in late if row.status != 503 or row.took_s > limit_s]
    assert not wrong, wrong
    assert all(row.status in (503, 504) for row in rows), rows
    delays = {row.retry_after_s for row in rows if row.at_s > context.seconds - limit_s - 1.0}
    assert delays and delays <= set(range(low_s, high_s + 1)), rows


@then("no call was forwarded more than {count:d} times")
def check_tries(context, count):
    lines = [line for d in context.deployment.daemons for line in context.deployment.forwarded(d)]
    assert all(line["tries"] <= count and line["status"] != 200 for line in lines), lines
    job_ids = [line["job_id"] for line in lines]
    assert len(job_ids) == len(set(job_ids)), job_ids


@then("from {pause_s:g} s after the outage every VM accepts jobs")
def check_accepts(context, pause_s):
    time.sleep(max(0.0, context.returned_s + pause_s - time.monotonic()))
    submitter = Submitter(context.deployment.daemons, first_id=1000)
    submitter.run(1.0)
    rows = submitter.join()
    assert all(row.status == 200 for row in rows), rows


@when('the first VM gets "{mode}" from the store and the second one gets "{other}"')
def set_modes(context, mode, other):
    first, second = context.deployment.daemons
    context.deployment.set_mode(first, mode)
    time.sleep(1.5)
    context.deployment.set_mode(second, other)


@when("a caller submits a job to the first VM and the second one is killed")
def submit_and_kill(context):
    first, second = context.deployment.daemons
    context.submitter = Submitter([first])
    context.submitter.submit(first)
    time.sleep(0.4)
    second.process.kill()
    second.process.wait()
    (context.answer,) = context.submitter.join()


@then("the caller is told that the outcome of the job is unknown")
def check_unknown_outcome(context):
    assert context.answer.status == 504, context.answer


@then("after the outage the repeated submission is accepted and the job runs exactly once")
def check_repeated(context):
    deployment = context.deployment
    for daemon in deployment.daemons:
        deployment.set_mode(daemon, "open")
    deployment.daemons[1].start()
    job = {"spec": "x", "steps": STEPS}
    path = f"/jobs/{context.answer.job_id}"
    wait_for(
        lambda: deployment.daemons[0].call("POST", path, job)[0] == 200,
        2.0,
        "no submission accepted",
    )
    executors = deployment.world.executors

    def done():
        return [row for executor in executors for row in executor.history if row[2] == "done"]

    wait_for(done, 25.0, "the job did not run")
    time.sleep(1.0)
    assert len(done()) == 1, done()
