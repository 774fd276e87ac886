"""Steps for approval requests."""

import asyncio
import collections
import time
import unittest.mock

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


class RefusingBalancer(ApprovalBalancer):
    """Balancer in a deployment where most VMs refuse connections; counts accepted requests."""

    def __init__(self, own_name, vms, accepting):
        super().__init__(self, None, own_name, lambda: vms)
        self.accepting = accepting
        self.accepted_counts = collections.Counter()
        self._local = unittest.mock.Mock(ask=self.ask_local)

    async def ask_local(self, step, worker_ids, cost_ms):
        """Answer a request of this VM."""
        return await self._accept(self._own_name)

    async def _accept(self, name):
        self.accepted_counts[name] += 1
        await asyncio.sleep(0.02)
        return ApprovalGranted(tickets={}, validity_s=1.0)

    async def _ask_peer(self, name, address, step, worker_ids, cost_ms):
        if name in self.accepting:
            return await self._accept(name)
        self._skipped_until_s[name] = time.monotonic() + 5.0
        return None


@given("{count:d} VMs of which only every fifth accepts connections")
def make_refusing_vms(context, count):
    names = [f"vm-{number}" for number in range(count)]
    vms = {vm: VmPresent(vm=vm, incarnation="", address=vm, domain="d") for vm in names}
    context.balancer = RefusingBalancer("vm-0", vms, set(names[::5]))


@when("{count:d} long requests are sent at once and repeated until they are answered")
def send_until_answered(context, count):
    async def ask(number):
        step = StepName(f"j{number}", 0, 0)
        while await context.balancer.ask(step, ("w",), 500.0, short=False) is None:
            await asyncio.sleep(0.01)

    async def ask_all():
        async with asyncio.timeout(5.0):
            await asyncio.gather(*(ask(number) for number in range(count)))

    asyncio.run(ask_all())


@then("no VM has sent more than {most:d} of them")
def check_spread(context, most):
    counts = context.balancer.accepted_counts
    assert max(counts.values()) <= most, counts


@when("{count:d} wide requests wait at one VM")
def queue_wide_requests(context, count):
    async def ask():
        context.service = SlowService(scale=1.0)
        queue = ApprovalQueue(context.service)
        running = asyncio.create_task(queue.run())
        started_s = time.monotonic()
        requests = [queue.ask(StepName("a", 0, 1), (), 400.0) for _ in range(count)]
        try:
            async with asyncio.timeout(9.0):
                context.outcomes = await asyncio.gather(*requests)
        finally:
            context.took_s = time.monotonic() - started_s
            running.cancel()

    asyncio.run(ask())


@then("all have an outcome within {seconds:g} s and the service got at most {most:d}")
def check_dropped(context, seconds, most):
    assert context.took_s < seconds, context.took_s
    assert len(context.service.order) <= most, len(context.service.order)
    assert context.outcomes.count(None) == len(context.outcomes) - len(context.service.order)
