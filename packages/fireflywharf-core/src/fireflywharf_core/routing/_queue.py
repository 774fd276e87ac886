"""Queue of one service: weighted fair between customers, highest response ratio within one."""

from collections import deque
from heapq import heappop, heappush

import attrs

from ._requests import Request, RequestPhase
from ._service_times import ServiceTimeEstimator

# Virtual times are compared in steps of this many seconds of service; within a step, the priority
# of the contract decides.
_EQUAL_SHARE_STEP_S = 0.5
_COMPACT_MIN_REMOVED_COUNT = 64
_HEAD_WAIT_SMOOTHING = 0.1
_HEAD_WAITS_MAX_COUNT = 64


@attrs.define(slots=True, eq=False)
class HeadWait:
    """How long requests of one kind stay at the head of their queue.

    Unlike the amount of waiting work, this reflects the order between kinds and customers.

    Attributes:
        last_popped_s: time at which the latest request was popped.
        mean_s_: moving average of the time at the head.
    """

    last_popped_s: float
    mean_s_: float = 0.0

    def observe(self, head: Request, now_s: float) -> None:
        """Update the average when the request at the head is popped."""
        self.mean_s_ += _HEAD_WAIT_SMOOTHING * (self.time_at_head_s(head, now_s) - self.mean_s_)
        self.last_popped_s = now_s

    def time_at_head_s(self, head: Request, now_s: float) -> float:
        """Return how long a request has been at the head of its kind."""
        return max(0.0, now_s - max(self.last_popped_s, head.arrived_s))


@attrs.define(slots=True, eq=False)
class CustomerQueue:
    """Waiting requests of one customer.

    Attributes:
        customer: name of the contract.
        weight: weight of the customer's share.
        priority: priority of the contract; decides between equal virtual times.
        kinds: waiting requests by kind, in order of arrival; may contain removed ones.
        head_waits_: learned waits at the head by kind.
        waiting_requests_count: waiting requests, without removed ones.
        removed_count: removed requests that are still in `kinds` or in the arrival order.
        waiting_work_s_: expected service time of the waiting requests.
        virtual_time_s_: service time used so far, divided by the weight.
        usage_correction_s_: correction that is added to the virtual time at the next heap push.
        is_in_heap: whether the heap contains the queue.
    """

    customer: str
    weight: float = 1.0
    priority: int = 5
    kinds: dict[str, deque[Request]] = attrs.field(factory=dict)
    head_waits_: dict[str, HeadWait] = attrs.field(factory=dict)
    waiting_requests_count: int = 0
    removed_count: int = 0
    waiting_work_s_: float = 0.0
    virtual_time_s_: float = 0.0
    usage_correction_s_: float = 0.0
    is_in_heap: bool = False


class ServiceQueue:
    """Queue of one service.

    Args:
        service_times: estimator of service times.
        fair: whether customers share by weight; otherwise first come, first served.
        long_kind_factor: see `RoutingPolicy`.
    """

    def __init__(
        self, service_times: ServiceTimeEstimator, fair: bool, long_kind_factor: float
    ) -> None:
        self.service_times = service_times
        self.fair = fair
        self.long_kind_factor = long_kind_factor
        self.short_kind_seen_at_s = float("-inf")
        self.waiting_requests_count = 0
        self._customers: dict[str, CustomerQueue] = {}
        self._heap: list[tuple[int, int, float, int, CustomerQueue]] = []
        self._arrivals: deque[Request] = deque()
        self._virtual_clock_s_ = 0.0
        self._heap_entries_count = 0

    def set_share(self, customer: str, weight: float, priority: int) -> None:
        """Set the weight and priority of a customer."""
        queue = self._customers.setdefault(customer, CustomerQueue(customer))
        queue.weight, queue.priority = weight, priority

    def forget_customer(self, customer: str) -> None:
        """Remove the state of a customer if it has no waiting requests."""
        queue = self._customers.get(customer)
        if queue is not None and not queue.waiting_requests_count and not queue.is_in_heap:
            del self._customers[customer]

    def count_waiting(self, customer: str) -> int:
        """Return the number of waiting requests of a customer."""
        queue = self._customers.get(customer)
        return 0 if queue is None else queue.waiting_requests_count

    def customers(self) -> list[str]:
        """Return the customers with waiting requests."""
        return [name for name, queue in self._customers.items() if queue.waiting_requests_count]

    def expected_wait_s(self, customer: str, kind: str, slots_count: int, now_s: float) -> float:
        """Return the expected waiting time of a new request.

        Args:
            customer: customer of the request.
            kind: kind of the request.
            slots_count: slots that serve this queue.
            now_s: present time.

        Returns:
            The time by the waits at the head of the kind or, while these are not known, by the
            waiting work.
        """
        queue = self._customers.get(customer)
        head_wait = None if queue is None else queue.head_waits_.get(kind)
        if head_wait is None:
            return self._estimate_wait_from_work_s(customer, slots_count)
        waiting = queue.kinds.get(kind)
        if not waiting:
            return head_wait.mean_s_
        interval_s = max(head_wait.mean_s_, head_wait.time_at_head_s(waiting[0], now_s))
        return (len(waiting) + 1) * interval_s

    def _estimate_wait_from_work_s(self, customer: str, slots_count: int) -> float:
        if slots_count <= 0:
            return 0.0 if not self.waiting_requests_count else float("inf")
        own_queue = self._customers.get(customer)
        if not self.fair or own_queue is None:
            work_s = sum(queue.waiting_work_s_ for queue in self._customers.values())
            return work_s / slots_count if not self.fair else 0.0
        weights = own_queue.weight + sum(
            queue.weight
            for queue in self._customers.values()
            if queue.waiting_requests_count and queue is not own_queue
        )
        return own_queue.waiting_work_s_ * weights / (own_queue.weight * slots_count)

    def push(self, request: Request, first: bool = False) -> None:
        """Add a request, at the head of its kind if `first`."""
        request.phase = RequestPhase.QUEUED
        queue = self._customers.setdefault(request.customer, CustomerQueue(request.customer))
        request.expected_service_s = self.service_times.predict(request.service_time_key).mean_s
        queue.waiting_requests_count += 1
        queue.waiting_work_s_ += request.expected_service_s
        self.waiting_requests_count += 1
        if not self.fair:
            waiting = self._arrivals
        else:
            waiting = queue.kinds.get(request.kind)
            if waiting is None:
                waiting = queue.kinds[request.kind] = deque()
            if request.arrived_s > self.short_kind_seen_at_s and not self.is_long(request):
                self.short_kind_seen_at_s = request.arrived_s
            if not queue.is_in_heap:
                queue.virtual_time_s_ = max(queue.virtual_time_s_, self._virtual_clock_s_)
                self._push_to_heap(queue)
        if first:
            waiting.appendleft(request)
        else:
            waiting.append(request)

    def is_long(self, request: Request) -> bool:
        """Return whether the request is of a long kind."""
        return self.service_times.is_long(request.service_time_key, self.long_kind_factor)

    def put_back(self, request: Request) -> None:
        """Return a popped request to the head of its kind and undo the charge for it."""
        queue = self._customers[request.customer]
        queue.usage_correction_s_ -= request.expected_service_s / queue.weight
        self.push(request, first=True)

    def remove_waiting(self, request: Request) -> None:
        """Remove a waiting request; the caller has set its phase, by which later pops skip it."""
        queue = self._customers[request.customer]
        self._subtract_waiting(queue, request)
        queue.removed_count += 1
        if queue.removed_count > _COMPACT_MIN_REMOVED_COUNT + queue.waiting_requests_count:
            self._compact(queue)

    def pop(self, now_s: float, skipped: set[str], short_only: bool = False) -> Request | None:
        """Remove and return the next request.

        Args:
            now_s: present time.
            skipped: customers whose requests are left in the queue.
            short_only: whether requests of long kinds are left in the queue.

        Returns:
            The request, or None if no eligible request waits.
        """
        if not self.fair:
            return self._pop_first_arrival(skipped)
        put_back = []
        found = None
        while self._heap and found is None:
            entry = heappop(self._heap)
            queue = entry[-1]
            queue.is_in_heap = False
            if not queue.waiting_requests_count:
                queue.kinds.clear()
                queue.removed_count = 0
            elif queue.customer in skipped:
                put_back.append(queue)
            else:
                found = self._pop_from_customer(queue, now_s, short_only)
                put_back.append(queue)
        for queue in put_back:
            if queue.waiting_requests_count:
                self._push_to_heap(queue)
        return found

    def correct_usage(self, request: Request, elapsed_s: float) -> None:
        """Replace the expected service time charged for a request by the observed one."""
        queue = self._customers.get(request.customer)
        if queue is not None:
            queue.usage_correction_s_ += (elapsed_s - request.expected_service_s) / queue.weight

    def _push_to_heap(self, queue: CustomerQueue) -> None:
        queue.virtual_time_s_ = max(0.0, queue.virtual_time_s_ + queue.usage_correction_s_)
        queue.usage_correction_s_ = 0.0
        self._heap_entries_count += 1
        share_step = int(queue.virtual_time_s_ / _EQUAL_SHARE_STEP_S)
        heappush(
            self._heap,
            (share_step, -queue.priority, queue.virtual_time_s_, self._heap_entries_count, queue),
        )
        queue.is_in_heap = True

    def _mark_running(self, queue: CustomerQueue, request: Request) -> None:
        request.phase = RequestPhase.RUNNING
        self._subtract_waiting(queue, request)

    def _subtract_waiting(self, queue: CustomerQueue, request: Request) -> None:
        queue.waiting_requests_count -= 1
        queue.waiting_work_s_ = (
            queue.waiting_work_s_ - request.expected_service_s
            if queue.waiting_requests_count
            else 0.0
        )
        self.waiting_requests_count -= 1

    def _pop_from_customer(
        self, queue: CustomerQueue, now_s: float, short_only: bool
    ) -> Request | None:
        best, best_ratio = None, -1.0
        for kind in list(queue.kinds):
            waiting = queue.kinds[kind]
            while waiting and waiting[0].phase is not RequestPhase.QUEUED:
                waiting.popleft()
                queue.removed_count -= 1
            if not waiting:
                del queue.kinds[kind]
                continue
            head = waiting[0]
            if short_only and self.is_long(head):
                continue
            # Highest response ratio next: prefers short kinds without starving long ones.
            expected_s = self.service_times.predict(head.service_time_key).mean_s
            ratio = (now_s - head.arrived_s + expected_s) / expected_s
            if ratio > best_ratio:
                best, best_ratio = waiting, ratio
        if best is None:
            return None
        request = best.popleft()
        head_wait = queue.head_waits_.get(request.kind)
        if head_wait is None:
            if len(queue.head_waits_) >= _HEAD_WAITS_MAX_COUNT:
                queue.head_waits_.clear()
            head_wait = queue.head_waits_[request.kind] = HeadWait(request.arrived_s)
        head_wait.observe(request, now_s)
        self._mark_running(queue, request)
        self._virtual_clock_s_ = max(self._virtual_clock_s_, queue.virtual_time_s_)
        queue.virtual_time_s_ += request.expected_service_s / queue.weight
        return request

    def _pop_first_arrival(self, skipped: set[str]) -> Request | None:
        passed = []
        found = None
        while self._arrivals and found is None:
            request = self._arrivals.popleft()
            if request.phase is not RequestPhase.QUEUED:
                self._customers[request.customer].removed_count -= 1
            elif request.customer in skipped:
                passed.append(request)
            else:
                found = request
                self._mark_running(self._customers[request.customer], request)
        self._arrivals.extendleft(reversed(passed))
        return found

    def _compact(self, queue: CustomerQueue) -> None:
        queue.removed_count = 0
        if not self.fair:
            self._arrivals = deque(r for r in self._arrivals if r.phase is RequestPhase.QUEUED)
            for other in self._customers.values():
                other.removed_count = 0
            return
        for kind, waiting in list(queue.kinds.items()):
            queue.kinds[kind] = deque(r for r in waiting if r.phase is RequestPhase.QUEUED)
