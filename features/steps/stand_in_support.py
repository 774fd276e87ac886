"""Helpers for the steps that test the stand-ins."""

import base64

import urllib3

from fireflywharf_core.jobs import AttemptId, TaskId
from fireflywharf_core.platform import VmInfo, VmRole
from fireflywharf_core.resources import ResourceVector
from fireflywharf_testing import (
    CheckpointStore,
    Domain,
    HistoryRecorder,
    Platform,
    Topology,
    WorkerSettings,
    WorkerStandIn,
)

CAPACITY = ResourceVector(1000, 1000, 1)


class ManualClock:
    """Clock that steps advance by setting `now_s`."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def worker_vm():
    return VmInfo(
        name="w1",
        role=VmRole.WORKER,
        address="127.0.0.1:1",
        region="r",
        failure_domain="d",
        capacity=CAPACITY,
    )


def attempt_id(index, number=1):
    return AttemptId(TaskId("j", index), number)


def manual_worker(clock, task_lease_s=30.0):
    settings = WorkerSettings(task_lease_s=task_lease_s)
    return WorkerStandIn(worker_vm(), settings, HistoryRecorder(), CheckpointStore(), clock)


def start_platform(context, **domain_fields):
    """Start a stand-in platform with one failure domain `centro` until the end of the scenario."""
    domain = Domain(name="centro", region="centro", **domain_fields)
    context.platform = Platform(Topology(domains=[domain])).start()
    context.add_cleanup(context.platform.stop)
    context.http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=8)
    context.add_cleanup(context.http.clear)


def post(context, server, path, body, headers=None):
    address = context.platform.servers[server].address
    return context.http.request("POST", f"http://{address}{path}", json=body, headers=headers)


def append(context, sequence, http=None):
    address = context.platform.servers["log-centro"].address
    body = {
        "writer": "a",
        "sequence": sequence,
        "records_base64": [base64.b64encode(b"record").decode()],
    }
    return (http or context.http).request(
        "POST", f"http://{address}/v1/streams/jobs/append", json=body
    )


def read_log(context):
    address = context.platform.servers["log-centro"].address
    return context.http.request("GET", f"http://{address}/v1/streams/jobs/records?offset=0")


def execute(context, request_id, epoch, service_ms):
    headers = {"X-Request-Id": request_id, "X-Epoch": str(epoch), "X-Deadline-Ms": "5000"}
    body = {"service_ms": service_ms, "echo": request_id}
    return post(context, "centro-target-1", "/v1/execute", body, headers)
