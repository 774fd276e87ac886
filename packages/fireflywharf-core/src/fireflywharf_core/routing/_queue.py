"""Waiting requests of one service: weighted between customers, short before long inside one."""

from collections import deque
from heapq import heappop, heappush

import attrs

from ._requests import Phase, Request
from ._times import ServiceTimes

# Customers whose used shares differ by less than this many seconds of service count as equal, and
# the priority of the contract decides between them.
_EQUAL_USE_S = 0.5
_COMPACT_COUNT = 64
_PACE_STEP = 0.1
_PACES_MAX_COUNT = 64


@attrs.define(slots=True, eq=False)
class Pace:
    """How long requests of one kind stay at the head of their queue.

    This follows from the order between kinds and customers, which the amount of waiting work alone
    does not show.
    """

    popped_s: float
    interval_s_: float = 0.0

    def observe(self, head: Request, now_s: float) -> None:
        """Take the start of the first waiting request."""
        self.interval_s_ += _PACE_STEP * (self.at_head_s(head, now_s) - self.interval_s_)
        self.popped_s = now_s

    def at_head_s(self, head: Request, now_s: float) -> float:
        """Return the time that a request has been the first of its kind."""
        return max(0.0, now_s - max(self.popped_s, head.arrived_s))


@attrs.define(slots=True, eq=False)
class CustomerQueue:
    """Waiting requests of one customer; `used_s_` is its weighted service time so far."""

    customer: str
    weight: float = 1.0
    priority: int = 5
    kinds: dict[str, deque[Request]] = attrs.field(factory=dict)
    paces_: dict[str, Pace] = attrs.field(factory=dict)
    live_count: int = 0
    dead_count: int = 0
    work_s_: float = 0.0
    used_s_: float = 0.0
    correction_s_: float = 0.0
    listed: bool = False


class ServiceQueue:
    """Queue of one service.

    Args:
        times: learned service times.
        fair: whether the order is weighted; otherwise first come first served.
        long_kind_factor: see `RoutingPolicy`.
    """

    def __init__(self, times: ServiceTimes, fair: bool, long_kind_factor: float) -> None:
        self.times = times
        self.fair = fair
        self.long_kind_factor = long_kind_factor
        self.short_seen_s = float("-inf")
        self.live_count = 0
        self._customers: dict[str, CustomerQueue] = {}
        self._order: list[tuple[int, int, float, int, CustomerQueue]] = []
        self._arrivals: deque[Request] = deque()
        self._served_s_ = 0.0
        self._ticket = 0

    def set_share(self, customer: str, weight: float, priority: int) -> None:
        """Take the weight and priority of a contract."""
        queue = self._customers.setdefault(customer, CustomerQueue(customer))
        queue.weight, queue.priority = weight, priority

    def forget(self, customer: str) -> None:
        """Drop the state of a customer without waiting requests."""
        queue = self._customers.get(customer)
        if queue is not None and not queue.live_count and not queue.listed:
            del self._customers[customer]

    def count(self, customer: str) -> int:
        """Return the number of waiting requests of a customer."""
        queue = self._customers.get(customer)
        return 0 if queue is None else queue.live_count

    def customers(self) -> list[str]:
        """Return the customers with waiting requests."""
        return [name for name, queue in self._customers.items() if queue.live_count]

    def expected_wait_s(self, customer: str, kind: str, slots_count: int, now_s: float) -> float:
        """Return the time until a new request is likely to start.

        Args:
            customer: customer of the request.
            kind: kind of the request.
            slots_count: slots that serve this queue.
            now_s: present time.

        Returns:
            The time by the pace of the kind, or by the waiting work while the pace is not known.
        """
        queue = self._customers.get(customer)
        pace = None if queue is None else queue.paces_.get(kind)
        if pace is None:
            return self._expected_work_s(customer, slots_count)
        waiting = queue.kinds.get(kind)
        if not waiting:
            return pace.interval_s_
        interval_s = max(pace.interval_s_, pace.at_head_s(waiting[0], now_s))
        return (len(waiting) + 1) * interval_s

    def _expected_work_s(self, customer: str, slots_count: int) -> float:
        if slots_count <= 0:
            return 0.0 if not self.live_count else float("inf")
        own = self._customers.get(customer)
        if not self.fair or own is None:
            work_s = sum(queue.work_s_ for queue in self._customers.values())
            return work_s / slots_count if not self.fair else 0.0
        weights = own.weight + sum(
            queue.weight
            for queue in self._customers.values()
            if queue.live_count and queue is not own
        )
        return own.work_s_ * weights / (own.weight * slots_count)

    def push(self, request: Request, first: bool = False) -> None:
        """Add a request; `first` puts it before the others of its kind."""
        request.phase = Phase.QUEUED
        queue = self._customers.setdefault(request.customer, CustomerQueue(request.customer))
        request.charged_s = self.times.predict(request.time_key).mean_s
        queue.live_count += 1
        queue.work_s_ += request.charged_s
        self.live_count += 1
        if not self.fair:
            waiting = self._arrivals
        else:
            waiting = queue.kinds.get(request.kind)
            if waiting is None:
                waiting = queue.kinds[request.kind] = deque()
            if request.arrived_s > self.short_seen_s and not self.is_long(request):
                self.short_seen_s = request.arrived_s
            if not queue.listed:
                queue.used_s_ = max(queue.used_s_, self._served_s_)
                self._list(queue)
        if first:
            waiting.appendleft(request)
        else:
            waiting.append(request)

    def is_long(self, request: Request) -> bool:
        """Return whether the request is of a long kind."""
        return self.times.is_long(request.time_key, self.long_kind_factor)

    def put_back(self, request: Request) -> None:
        """Undo a pop."""
        queue = self._customers[request.customer]
        queue.correction_s_ -= request.charged_s / queue.weight
        self.push(request, first=True)

    def drop(self, request: Request) -> None:
        """Forget a waiting request whose phase the caller has changed."""
        queue = self._customers[request.customer]
        self._leave(queue, request)
        queue.dead_count += 1
        if queue.dead_count > _COMPACT_COUNT + queue.live_count:
            self._compact(queue)

    def pop(self, now_s: float, skipped: set[str], short_only: bool = False) -> Request | None:
        """Remove and return the next request.

        Args:
            now_s: present time.
            skipped: customers that cannot be served now.
            short_only: whether long kinds have to wait.

        Returns:
            The request, or None when no other customer has one.
        """
        if not self.fair:
            return self._pop_arrival(skipped)
        put_back = []
        found = None
        while self._order and found is None:
            entry = heappop(self._order)
            queue = entry[-1]
            queue.listed = False
            if not queue.live_count:
                queue.kinds.clear()
                queue.dead_count = 0
            elif queue.customer in skipped:
                put_back.append(queue)
            else:
                found = self._pop_kind(queue, now_s, short_only)
                put_back.append(queue)
        for queue in put_back:
            if queue.live_count:
                self._list(queue)
        return found

    def correct(self, request: Request, elapsed_s: float) -> None:
        """Replace the charged service time of a request by the observed one."""
        queue = self._customers.get(request.customer)
        if queue is not None:
            queue.correction_s_ += (elapsed_s - request.charged_s) / queue.weight

    def _list(self, queue: CustomerQueue) -> None:
        queue.used_s_ = max(0.0, queue.used_s_ + queue.correction_s_)
        queue.correction_s_ = 0.0
        self._ticket += 1
        step = int(queue.used_s_ / _EQUAL_USE_S)
        heappush(self._order, (step, -queue.priority, queue.used_s_, self._ticket, queue))
        queue.listed = True

    def _take(self, queue: CustomerQueue, request: Request) -> None:
        request.phase = Phase.RUNNING
        self._leave(queue, request)

    def _leave(self, queue: CustomerQueue, request: Request) -> None:
        queue.live_count -= 1
        queue.work_s_ = queue.work_s_ - request.charged_s if queue.live_count else 0.0
        self.live_count -= 1

    def _pop_kind(self, queue: CustomerQueue, now_s: float, short_only: bool) -> Request | None:
        best, best_ratio = None, -1.0
        for kind in list(queue.kinds):
            waiting = queue.kinds[kind]
            while waiting and waiting[0].phase is not Phase.QUEUED:
                waiting.popleft()
                queue.dead_count -= 1
            if not waiting:
                del queue.kinds[kind]
                continue
            head = waiting[0]
            if short_only and self.is_long(head):
                continue
            # Highest response ratio next: short kinds first, and every wait ends.
            expected_s = self.times.predict(head.time_key).mean_s
            ratio = (now_s - head.arrived_s + expected_s) / expected_s
            if ratio > best_ratio:
                best, best_ratio = waiting, ratio
        if best is None:
            return None
        request = best.popleft()
        pace = queue.paces_.get(request.kind)
        if pace is None:
            if len(queue.paces_) >= _PACES_MAX_COUNT:
                queue.paces_.clear()
            pace = queue.paces_[request.kind] = Pace(request.arrived_s)
        pace.observe(request, now_s)
        self._take(queue, request)
        self._served_s_ = max(self._served_s_, queue.used_s_)
        queue.used_s_ += request.charged_s / queue.weight
        return request

    def _pop_arrival(self, skipped: set[str]) -> Request | None:
        passed = []
        found = None
        while self._arrivals and found is None:
            request = self._arrivals.popleft()
            if request.phase is not Phase.QUEUED:
                self._customers[request.customer].dead_count -= 1
            elif request.customer in skipped:
                passed.append(request)
            else:
                found = request
                self._take(self._customers[request.customer], request)
        self._arrivals.extendleft(reversed(passed))
        return found

    def _compact(self, queue: CustomerQueue) -> None:
        queue.dead_count = 0
        if not self.fair:
            self._arrivals = deque(r for r in self._arrivals if r.phase is Phase.QUEUED)
            for other in self._customers.values():
                other.dead_count = 0
            return
        for kind, waiting in list(queue.kinds.items()):
            queue.kinds[kind] = deque(r for r in waiting if r.phase is Phase.QUEUED)
