"""Steps for approval requests."""

import asyncio

from behave import given, then, when

from fireflywharf_core.workflows import (
    StepName,
    VmPresent,
)
from fireflywharf_daemon.workflows import (
    ApprovalGranted,
)
from fireflywharf_daemon.workflows._approvals import ApprovalQueue
from fireflywharf_daemon.workflows._peers import ApprovalBalancer, vms_for_requests


class SlowService:
    """Approval service that serves one request at a time."""

    def __init__(self, scale):
        self.scale = scale
        self.order = []
        self.lock = asyncio.Lock()

    async def ask(self, step, worker_ids, *, timeout_s):
        """Grant no tickets, after `scale` times 400 ms for a wide step or 8 ms for a small one."""
        async with self.lock:
            wide = step.step == 1
            await asyncio.sleep((0.4 if wide else 0.008) * self.scale)
            self.order.append("wide" if wide else "small")
        return ApprovalGranted(tickets={}, validity_s=1.0)


@given("an approval service that needs 400 ms for wide steps and 8 ms for small ones")
def add_slow_service(context):
    context.service = None


@when("{wide:d} wide and {small:d} small requests wait")
def send_all_requests(context, wide, small):
    async def ask():
        context.service = SlowService(scale=0.1)
        queue = ApprovalQueue(context.service)
        running = asyncio.create_task(queue.run())
        requests = [queue.ask(StepName("a", 0, 1), (), 400.0) for _ in range(wide + 1)]
        requests += [queue.ask(StepName("a", 0, 0), (), 8.0) for _ in range(small)]
        await asyncio.gather(*requests)
        running.cancel()

    asyncio.run(ask())


@then("every small request is answered before the last wide one")
def check_service_order(context):
    assert context.service.order[-1] == "wide", context.service.order


@given('VMs "{first}" in one failure domain and "{second}" in another')
def make_vms_in_domains(context, first, second):
    context.vms = {
        vm: VmPresent(vm=vm, incarnation="", address=vm, domain=vm[0])
        for vm in [*first.split(), *second.split()]
    }


@then('"{short}" get short requests and "{long}" get long ones')
def check_vms_by_length(context, short, long):
    assert sorted(vms_for_requests(context.vms, short=True)) == short.split()
    assert sorted(vms_for_requests(context.vms, short=False)) == long.split()


class RecordingBalancer(ApprovalBalancer):
    """Balancer that records which VM gets which request."""

    def __init__(self, own_name, vms):
        super().__init__(None, None, own_name, lambda: vms)
        self.sent = []

    async def _ask_peer(self, name, address, step, worker_ids, cost_ms):
        self.sent.append((name, cost_ms))
        return ApprovalGranted(tickets={}, validity_s=1.0)


@when("a VM of each failure domain sends a short request and a long one")
def send_both(context):
    context.sent = []
    for own_name in ("a3", "b1"):
        balancer = RecordingBalancer(own_name, context.vms)
        balancer._local = SlowService(scale=0.0)
        balancer._local.ask = lambda *_, p=balancer: p._ask_peer(p._own_name, "", *_)
        for short, cost_ms in ((True, 10.0), (False, 500.0)):
            asyncio.run(balancer.ask(StepName("a", 0, 0), ("w",), cost_ms, short=short))
        context.sent += balancer.sent


@then("no VM that shares its failure domain with others gets both")
def check_apart(context):
    costs = {}
    for name, cost_ms in context.sent:
        costs.setdefault(name, set()).add(cost_ms)
    assert len(context.sent) == 4, context.sent
    assert all(len(kinds) == 1 for name, kinds in costs.items() if name != "b1"), costs
