"""Cluster and load for the steps that test daemons under faults."""

import collections
import random
import threading
import time

import attrs
from run_folders import create_run_folder, remove_run_folder

from fireflywharf_core.history import JobAcceptedSeen, JobStateSeen, RequestAnswered, RequestSent
from fireflywharf_core.history._job_checks import END_STATES
from fireflywharf_core.jobs import JobKind, derive_job_id
from fireflywharf_core.results import ResultCode
from fireflywharf_testing import (
    NO_FAULTS,
    Cluster,
    Domain,
    RequestPlan,
    TargetGroup,
    Topology,
    WorkerGroup,
    wait_until,
)

SEED = 7
TASK_LEASE_S = 10.0
JOBS_END_TIMEOUT_S = 60.0
NO_LIMIT = {
    "processors_millicores": "unlimited",
    "memory_mb": "unlimited",
    "accelerators_count": "unlimited",
}
CONTRACT = {
    "customer": "austral",
    "share_weight": 1,
    "quota": NO_LIMIT,
    "requests_per_second": "unlimited",
    "queue_max_tasks": "unlimited",
    "provisional_admission": True,
}
SERVICE = "dispatch"
ACCEPTED = (ResultCode.ACCEPTED, ResultCode.ACCEPTED_LATE)
UNCERTAIN = ("unknown", "lost", "not_connected")


def build_topology(domains_count, **topology_fields):
    """Return a topology with 3 entry VMs in `centro` and 2 in each other failure domain."""
    names = ("centro", "pacifico", "caribe")[:domains_count]
    return Topology(
        domains=[
            Domain(
                name=name,
                region=name,
                entry_vms_count=3 if name == "centro" else 2,
                workers=[WorkerGroup(count=4)],
                targets=[TargetGroup(service=SERVICE, count=2)],
            )
            for name in names
        ],
        task_lease_s=TASK_LEASE_S,
        **topology_fields,
    )


def start_cluster(domains_count, embedded=(), settings=None, **topology_fields):
    """Start a cluster, apply a contract and wait until every entry VM shows it."""
    cluster = Cluster(
        build_topology(domains_count, **topology_fields),
        embedded=embedded,
        settings=settings,
        folder=create_run_folder(),
    )
    cluster.start()
    result = cluster.caller("austral").apply_contract("centro-entry-1", CONTRACT, 0)
    assert result.answer.get("name") == "OK", result
    wait_for_version(cluster, "austral", 1)
    return cluster


def list_running_vms(cluster):
    return [name for name, node in cluster.nodes.items() if node.running]


def wait_for_version(cluster, customer, version, timeout_s=30.0):
    """Poll every running entry VM until it shows at least this version of a contract.

    The cluster records each answer for the history checks.

    Raises:
        AssertionError: an entry VM still shows an older version after `timeout_s`.
    """
    caller = cluster.caller(customer)
    behind = list_running_vms(cluster)
    end_s = time.monotonic() + timeout_s
    while behind and time.monotonic() < end_s:
        behind = [vm for vm in behind if not is_version_visible(caller, vm, customer, version)]
        time.sleep(0.05)
    assert not behind, f"{behind} do not show version {version} of {customer}"


def is_version_visible(caller, vm, customer, version):
    answer = caller.poll_contract(vm, customer).answer
    return answer.get("version", 0) >= version


def end_all_faults(cluster):
    """End all faults and restart stopped daemons, so that the next scenario can use the cluster."""
    for name in cluster.platform.servers:
        if name != "control" and cluster.platform.servers[name].faults != NO_FAULTS:
            cluster.platform.set_faults(name)
    for name, node in cluster.nodes.items():
        if not node.running:
            cluster.restart(name)
    cluster.wait_schedulers()


class Load:
    """Callers that send requests and jobs of every kind from several threads until stopped.

    Every operation that must not run twice has a key. Operations with an uncertain outcome are
    retried with their key at another entry VM, and some operations are sent to two entry VMs
    concurrently.
    """

    REQUEST_THREADS_COUNT = 4
    PAUSE_S = 0.02
    JOB_PAUSE_S = 0.25

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.caller = cluster.caller("austral")
        self.vms = list(cluster.nodes)
        self.jobs = {}
        self.errors = []
        self.start_s = time.monotonic()
        self._stopping = threading.Event()
        self._threads = []

    def start(self):
        loops = [lambda n=n: self._send_requests(n) for n in range(self.REQUEST_THREADS_COUNT)]
        for loop in [*loops, self._submit_jobs, self._poll_states]:
            thread = threading.Thread(target=self._collect_errors, args=[loop], daemon=True)
            self._threads.append(thread)
            thread.start()
        return self

    def stop(self):
        """Stop sending and wait for the calls in progress.

        Raises:
            AssertionError: a thread did not end within 60 s or raised an exception.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join(60)
            assert not thread.is_alive(), "a caller thread did not end within 60 s"
        assert not self.errors, self.errors

    def finish(self):
        """Stop after enough calls, cancel the service jobs and wait for the accepted jobs to end.

        Also waits until every running entry VM shows the current version of each contract.
        """
        wait_until(self._has_enough_calls, JOBS_END_TIMEOUT_S)
        self.stop()
        vms = list_running_vms(self.cluster)
        for job_id, kind in self.jobs.items():
            if kind == "service":
                self._cancel_job(vms, job_id)
        end_s = time.monotonic() + JOBS_END_TIMEOUT_S
        while (jobs := self._unfinished_jobs()) and time.monotonic() < end_s:
            for job_id in jobs:
                self.caller.poll_job(vms[0], job_id)
            time.sleep(0.1)
        versions = {}
        for row in self.caller.exchange(vms[0], "GET", "/v1/contracts").answer["contracts"]:
            versions[row["customer"]] = row["version"]
        for customer, version in versions.items():
            wait_for_version(self.cluster, customer, version)

    def count_outcomes(self):
        """Return the number of calls of this load by outcome."""
        sent = {
            row.call for row in self.cluster.recorder.of(RequestSent) if row.time_s >= self.start_s
        }
        answers = self.cluster.recorder.of(RequestAnswered)
        return collections.Counter(row.outcome for row in answers if row.call in sent)

    def _has_enough_calls(self):
        return len(self.jobs) >= 10 and self.count_outcomes()["completed"] >= 100

    def _collect_errors(self, loop):
        try:
            loop()
        except Exception as error:
            self.errors.append(repr(error))

    def _send_requests(self, number):
        rng = random.Random(f"{SEED}:{self.name}:{number}")
        count = 0
        while not self._stopping.wait(self.PAUSE_S):
            count += 1
            self._send_operation(rng, f"{self.name}-{number}-{count}")

    def _send_operation(self, rng, operation):
        first, second = rng.sample(self.vms, 2)
        kind = rng.choice(("idempotent", "own_key", "issued_key"))
        key = f"key-{operation}" if kind == "own_key" else ""
        if kind == "issued_key":
            answer = self.caller.exchange(
                first, "POST", "/v1/keys", {"customer": "austral", "count": 1}
            )
            if not answer.answer.get("keys"):
                return
            key = answer.answer["keys"][0]
        plan = RequestPlan(
            service=SERVICE,
            idempotent=kind == "idempotent",
            key=key,
            operation=operation,
            service_ms=rng.choice((5, 20, 100)),
        )
        duplicate_call = None
        if rng.random() < 0.15:
            duplicate_call = threading.Thread(target=self.caller.send_request, args=[second, plan])
            duplicate_call.start()
        result = self.caller.send_request(first, plan)
        if result.outcome in UNCERTAIN or rng.random() < 0.1:
            self.caller.send_request(second, plan)
        if duplicate_call is not None:
            duplicate_call.join(60)

    def _submit_jobs(self):
        rng = random.Random(f"{SEED}:{self.name}:jobs")
        kinds = ("batch", "gang", "urgent", "once", "service")
        count = 0
        while not self._stopping.wait(self.JOB_PAUSE_S):
            kind = kinds[count % len(kinds)]
            count += 1
            job = job_document(kind, f"{self.name}-{kind}-{count}")
            self.jobs[derive_job_id("austral", job["key"])] = kind
            for vm in rng.sample(self.vms, 2):
                if self.caller.submit_job(vm, job).code in ACCEPTED:
                    break

    def _poll_states(self):
        rng = random.Random(f"{SEED}:{self.name}:poll")
        while not self._stopping.wait(0.1):
            vm = rng.choice(self.vms)
            if vm not in list_running_vms(self.cluster):
                continue
            self.caller.poll_contract(vm, "austral")
            unfinished_jobs = self._unfinished_jobs()
            if unfinished_jobs:
                self.caller.poll_job(vm, rng.choice(unfinished_jobs))
            ended = [job_id for job_id in self.jobs if job_id not in unfinished_jobs]
            if ended:
                # Polls ended jobs to detect a final state that changes. Only the newest are polled:
                # daemons may forget jobs that ended longer ago than the retention.
                self.caller.poll_job(vm, rng.choice(ended[-5:]))

    def _unfinished_jobs(self):
        """Return the accepted jobs of this load without a recorded final state so far."""
        recorder = self.cluster.recorder
        ended = {
            row.job_id
            for row in recorder.of(JobStateSeen)
            if row.state in END_STATES and row.recorded
        }
        accepted = {row.job_id for row in recorder.of(JobAcceptedSeen)}
        return [job_id for job_id in list(self.jobs) if job_id in accepted - ended]

    def _cancel_job(self, vms, job_id):
        for vm in vms:
            result = self.caller.exchange(vm, "POST", f"/v1/jobs/{job_id}/cancel")
            if result.outcome not in UNCERTAIN:
                return


def job_document(kind, key):
    """Return the document of a job; the kind `once` is a batch job that is not restartable."""
    return {
        "key": key,
        "kind": JobKind.BATCH.value if kind == "once" else kind,
        "tasks_count": {"batch": 3, "gang": 2}.get(kind, 1),
        "size": {"processors_millicores": 1000, "memory_mb": 500},
        "run_time_s": 0.3,
        "restartable": kind != "once",
        "max_attempts": 10,
        "command": '{"run_s": null}' if kind == "service" else '{"run_s": 0.3}',
    }


@attrs.define
class SharedCluster:
    """The cluster that the scenarios of a feature share.

    Attributes:
        cluster: running cluster, or None.
        layout: arguments with which the cluster was started.
        reported_violations: violations that earlier scenarios have reported.
        is_reusable: whether the last scenario passed, so that the next one may use the cluster.
        loads_count: number of loads started so far.
    """

    cluster: Cluster | None = None
    layout: tuple = ()
    reported_violations: set = attrs.field(factory=set)
    is_reusable: bool = False
    loads_count: int = 0

    def acquire(self, context, layout, start):
        """Return the shared cluster, or start a new one.

        A new one is started if the layout differs or the last scenario failed.
        """
        if self.cluster is None or self.layout != layout or not self.is_reusable:
            self.close()
            self.cluster, self.layout = start(), layout
            self.reported_violations = set()
            context.add_cleanup(self.close, layer="feature")
        else:
            end_all_faults(self.cluster)
        self.is_reusable = False
        self.loads_count += 1
        return self.cluster

    def new_violations(self):
        """Return the violations that no earlier scenario has reported, as sorted texts."""
        found = {f"{row.promise.value}: {row.detail}" for row in self.cluster.violations()}
        new = sorted(found - self.reported_violations)
        self.reported_violations |= found
        return new

    def close(self):
        if self.cluster is not None:
            self.cluster.stop()
            remove_run_folder(self.cluster.folder)
            self.cluster = None


SHARED_CLUSTER = SharedCluster()


def assert_eventually(condition, description, timeout_s=30.0):
    """Wait until `condition` returns a true value; fail with `description` after `timeout_s`."""
    assert wait_until(condition, timeout_s, 0.05), f"not within {timeout_s} s: {description}"
