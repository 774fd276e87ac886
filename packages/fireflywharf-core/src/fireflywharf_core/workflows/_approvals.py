"""Tickets that authorize workers to run a step."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from ._events import Action, ApprovalReceived, AskApproval
from ._names import StepName
from ._placement import fit_count, placeable_count
from ._reservations import eventual_count
from ._specs import Approval, StepSpec, WorkerInfo
from ._state import GangPlan, Step, Worker

_TICKET_MARGIN_S = 0.15
"""Minimum remaining validity of a ticket when an order is sent; covers the network delay."""
_FIRST_TICKETS_WAIT_S = 0.25
"""Extra time for the daemon that accepted a job to deliver its first tickets."""
_REPEAT_AFTER_S = 30.0
"""Time after which a request without an answer is repeated.

Queued requests are not repeated earlier, because each repetition lengthens the queue for all."""
_REQUEST_WORKERS_MAX = 100
"""Maximum number of workers in one request (protocol of the approval service)."""
USUAL_REQUEST_WORKERS = 30
"""Number of workers in a request that the objectives allow for (rules of the deployment)."""
SHORT_REQUEST_MAX_MS = 50.0
"""Maximum duration of a short request.

Storing a job and notifying the scheduler takes about as long, so a short request that is sent at
the same time does not delay the start."""
_INITIAL_RATE = 0.4
"""Approval rate that is assumed for a queue without answers."""
_RATE_MIN = 0.1
"""Lower bound of the learned rate, which limits the number of workers asked about."""
_RATE_WEIGHT = 0.2
"""Weight of a new answer in the learned rate; about the last ten answers count."""
_RENEWAL_INTERVAL_S = 0.5
"""Minimum time between two long renewal requests of one step; half the run time of a short task."""
_RENEWAL_LEAD_S = 0.3
"""Time before the expected start of a gang at which its tickets should have arrived."""
_SPARE_SHARE = 0.5
"""Workers asked about beyond the expected need, as a fraction of the cost of a second request."""
_GANG_CHOICE = 3.0
"""Places among which a gang chooses, as a multiple of its tasks, if the service has time.

With a wider choice, it finds workers that have room at the same time."""
_PARALLEL_REQUEST_WORKERS = 45
"""Number of workers in each of several requests that are sent to different VMs at once."""
_PARALLEL_SHARE = 0.2
"""Share of the VMs without a long request that may be used for one step."""
_OWED_TURN_S = 0.7
"""Time for which an owed step that found no turn keeps the next one; a gang tries as often."""
_FREE_SHARE = 0.5
"""Free share of a worker's capacity that is assumed if the real one is unknown."""


def approval_request_ms(approval: Approval, workers_count: int) -> float:
    """Return the processing time of a request for `workers_count` workers, in milliseconds."""
    return approval.decision_ms + workers_count * approval.per_worker_ms


def spare_workers_count(approval: Approval) -> int:
    """Return how many workers to ask about beyond the expected need.

    Answers vary around the learned rate, and each further request costs the fixed time again.
    """
    return math.ceil(_SPARE_SHARE * approval.decision_ms / max(0.01, approval.per_worker_ms))


def has_short_requests(approval: Approval) -> bool:
    """Return whether requests of a queue are usually answered while a job is being stored."""
    return approval_request_ms(approval, USUAL_REQUEST_WORKERS) <= SHORT_REQUEST_MAX_MS


class ApprovalRates:
    """Learns the share of workers that are approved, by queue.

    Attributes:
        rates_: learned approval rate by queue name, between 0 and 1.
    """

    def __init__(self) -> None:
        self.rates_: dict[str, float] = {}

    def observe(self, queue: str, asked_count: int, allowed_count: int) -> None:
        """Update the rate of a queue with the counts of one answer."""
        if asked_count:
            approval_rate = self.predict(queue)
            approval_rate += _RATE_WEIGHT * (allowed_count / asked_count - approval_rate)
            self.rates_[queue] = max(_RATE_MIN, approval_rate)

    def predict(self, queue: str) -> float:
        """Return the expected approval rate of a queue."""
        return self.rates_.get(queue, _INITIAL_RATE)


def sample_workers(
    spec: StepSpec,
    approval: Approval,
    workers: Sequence[WorkerInfo],
    approval_rate: float,
    rng: random.Random,
) -> list[str]:
    """Choose random workers to ask about when their free capacity is unknown.

    Many short steps arrive at all VMs. Each request names few workers, chosen at random, which
    keeps the requests short and spreads the steps.

    Args:
        spec: the step.
        approval: cost of a request.
        workers: workers of the step's service.
        approval_rate: expected approval rate.
        rng: source of randomness.

    Returns:
        Ids of the workers; empty if the step fits on none.
    """
    fitting = [
        (worker.worker_id, count)
        for worker in workers
        if not (worker.draining or worker.suspended)
        and (not spec.required_label or spec.required_label in worker.labels)
        and (count := fit_count(worker.capacity, spec.demand)) > 0
    ]
    if not fitting:
        return []
    places = sum(count for _, count in fitting) / len(fitting) * _FREE_SHARE
    if spec.max_per_worker:
        places = min(places, spec.max_per_worker)
    wanted = math.ceil(spec.tasks_count / max(1.0, places) / approval_rate) + spare_workers_count(
        approval
    )
    wanted = min(len(fitting), _REQUEST_WORKERS_MAX, wanted)
    return [worker_id for worker_id, _ in rng.sample(fitting, wanted)]


class TicketTracker:
    """Stores the tickets of steps and requests new ones.

    The approval service processes one request of a VM at a time, and each named worker makes a
    request longer. A step first asks about the workers with the most free capacity, as many as it
    is expected to need, and about further ones if these do not suffice. The set of workers that
    may run a step never changes; only tickets expire. A step that waits for capacity renews the
    tickets of workers that have some.

    Args:
        workers: all workers by id.
        outbox: receives the requests.

    Attributes:
        approval_rates: learned approval rates.
        long_requests_max: maximum number of long requests in flight; further ones would only queue,
            with a choice of workers that becomes outdated meanwhile.
    """

    def __init__(self, workers: Mapping[str, Worker], outbox: list[Action]) -> None:
        self.approval_rates = ApprovalRates()
        self.long_requests_max = 1
        self._long_requests: Counter[StepName] = Counter()
        self._workers = workers
        self._outbox = outbox
        self._early_tickets: dict[StepName, list[ApprovalReceived]] = {}
        self._owed_waits_until_s = float("-inf")

    def has_valid_ticket(self, step: Step, worker_id: str, now_s: float) -> bool:
        """Return whether the step has a ticket that is valid long enough to reach the worker."""
        entry = step.tickets.get(worker_id)
        return entry is not None and now_s + _TICKET_MARGIN_S < entry[1]

    def is_allowed(self, step: Step, worker_id: str, now_s: float, accept_expired: bool) -> bool:
        """Return whether the worker may run the step; `accept_expired` includes expired tickets."""
        return (
            worker_id in step.tickets
            if accept_expired
            else self.has_valid_ticket(step, worker_id, now_s)
        )

    def expected_answer_s(self, step: Step, workers_count: int) -> float:
        """Return the expected duration of a request for `workers_count` workers, in seconds."""
        return approval_request_ms(step.job.queue.approval, workers_count) / 1000.0

    def find_ticket(self, step: Step, worker_id: str) -> str:
        """Return the ticket of a step for a worker; empty if there is none."""
        entry = step.tickets.get(worker_id)
        return "" if entry is None else entry[0]

    def add_tickets(self, step: Step | None, event: ApprovalReceived, now_s: float) -> None:
        """Store tickets; keep them for later if their job is not known yet."""
        self._close_long_request(event.step)
        if step is None:
            for name, events in list(self._early_tickets.items()):
                if all(now_s >= kept.expires_s for kept in events):
                    del self._early_tickets[name]
            self._early_tickets.setdefault(event.step, []).append(event)
            return
        self.approval_rates.observe(step.job.queue.name, len(event.asked), len(event.tickets))
        step.asked.update(event.asked)
        self._close_request(step)
        for worker_id, ticket in event.tickets.items():
            step.tickets[worker_id] = (ticket, event.expires_s)

    def apply_early_tickets(self, steps: Iterable[Step], now_s: float) -> None:
        """Store the tickets that arrived before the job of the steps."""
        for step in steps:
            for event in self._early_tickets.pop(step.name, ()):
                self.add_tickets(step, event, now_s)

    def clear_request(self, name: StepName, step: Step | None) -> None:
        """Remove a failed request, so that the next one may be sent at once."""
        self._close_long_request(name)
        if step is not None:
            self._close_request(step)

    def _close_long_request(self, name: StepName) -> None:
        self._long_requests[name] -= 1
        if self._long_requests[name] <= 0:
            del self._long_requests[name]

    @staticmethod
    def _close_request(step: Step) -> None:
        step.open_requests_count = max(0, step.open_requests_count - 1)
        if step.open_requests_count == 0:
            step.approval_asked_s = None
        step.blocked_version = -1

    def request_tickets(
        self, step: Step, workers: Mapping[str, Worker], tasks_count: int, now_s: float
    ) -> bool:
        """Ask about further workers if the approved ones have too little free capacity.

        Workers that join or return later are included, because a step may be allowed on few
        workers only.

        Args:
            step: the step.
            workers: usable workers of its service, by id.
            tasks_count: number of its waiting tasks that may start now.
            now_s: current local time, in seconds.

        Returns:
            Whether the step has a ticket or needs none.
        """
        approval = step.job.queue.approval
        if approval is None:
            return True
        first = not step.spec.after and step.name.occurrence == 0 and not step.job.inherited
        if first and not step.asked and has_short_requests(approval):
            answer_s = self.expected_answer_s(step, USUAL_REQUEST_WORKERS) + _FIRST_TICKETS_WAIT_S
            if now_s < step.job.accepted_s + answer_s:
                return False
        if step.approval_asked_s is None and self._has_turn(step, not step.tickets, now_s):
            asked_ids = self._choose_workers(step, workers, tasks_count, now_s)
            if asked_ids:
                self._send_requests(step, asked_ids, now_s)
        return bool(step.tickets)

    def _can_ask(self, step: Step) -> bool:
        return (
            has_short_requests(step.job.queue.approval)
            or self._long_requests.total() < self.long_requests_max
        )

    def _has_turn(self, step: Step, is_waiting: bool, now_s: float) -> bool:
        """Return whether a step may send a request now.

        Excess steps send no long ones while an owed step waits for its turn.

        Args:
            step: the step.
            is_waiting: whether it can start no further task without the answer.
            now_s: current local time, in seconds.
        """
        can_ask = self._can_ask(step)
        if step.job.is_excess and not has_short_requests(step.job.queue.approval):
            return can_ask and now_s >= self._owed_waits_until_s
        if is_waiting and not can_ask:
            self._owed_waits_until_s = now_s + _OWED_TURN_S
        return can_ask

    def _choose_workers(
        self, step: Step, workers: Mapping[str, Worker], tasks_count: int, now_s: float
    ) -> list[str]:
        """Return the ids of the workers to ask about next; empty if no request would help."""
        count_tasks = self._count_expected_tasks
        if step.gang_plan is not None:
            answer_s = self.expected_answer_s(step, USUAL_REQUEST_WORKERS)
            if step.gang_plan.start_s <= now_s + answer_s + _RENEWAL_LEAD_S:
                return []
            count_tasks = self._count_fitting_tasks
        unasked = [row for row in workers.items() if row[0] not in step.asked]
        if not unasked:
            return []
        missing = float(tasks_count)
        for worker_id in step.tickets:
            worker = workers.get(worker_id)
            missing -= 0 if worker is None else count_tasks(step, worker, now_s)
            if missing <= 0:
                return []
        candidates = []
        for worker_id, worker in unasked:
            count = count_tasks(step, worker, now_s)
            if count > 0:
                candidates.append((count, worker_id))
        if not candidates:
            return []
        approval_rate = self.approval_rates.predict(step.job.queue.name)
        candidates.sort(reverse=True)
        places = missing / approval_rate
        wanted = 0
        while wanted < len(candidates) and places > 0:
            places -= candidates[wanted][0]
            wanted += 1
        wanted = min(_REQUEST_WORKERS_MAX, wanted + spare_workers_count(step.job.queue.approval))
        if step.spec.gang:
            parallel_workers = self._parallel_requests_max() * _PARALLEL_REQUEST_WORKERS
            wanted = max(wanted, min(parallel_workers, math.ceil(wanted * _GANG_CHOICE)))
        return [worker_id for _, worker_id in candidates[:wanted]]

    def _parallel_requests_max(self) -> int:
        """Return how many long requests one step may send at the same time."""
        idle_count = self.long_requests_max - self._long_requests.total()
        return max(1, int(_PARALLEL_SHARE * idle_count))

    @staticmethod
    def _count_fitting_tasks(step: Step, worker: Worker, now_s: float) -> float:
        """Return the number of tasks of a step that fit on a worker now."""
        count = placeable_count(step, worker, worker.available_capacity(step, now_s))
        return min(count, len(step.waiting))

    @staticmethod
    def _count_expected_tasks(step: Step, worker: Worker, now_s: float) -> float:
        """Return the number of tasks of a step that a worker is expected to run soon.

        A gang waits until runs on its workers have ended, while single tasks use other workers.
        """
        count = placeable_count(step, worker, worker.available_capacity(step, now_s))
        if step.spec.gang:
            count = (count + eventual_count(step, worker, now_s)) / 2
        return min(count, len(step.waiting))

    def renew_tickets(self, step: Step, chosen: list[Worker], now_s: float) -> bool:
        """Request new tickets for workers whose tickets have expired or are about to.

        At full load, many steps of single tasks wait, and each run that ends frees capacity for
        one task. A step therefore waits `_RENEWAL_INTERVAL_S` between two long requests, to cover
        more capacity with each of them.

        Returns:
            Whether a request was sent.
        """
        if not has_short_requests(step.job.queue.approval):
            if now_s < step.tickets_renewed_s + _RENEWAL_INTERVAL_S:
                return False
            step.tickets_renewed_s = now_s
        if all(self.has_valid_ticket(step, w.worker_id, now_s) for w in chosen):
            return False
        # Tickets that expire before the answer arrives are renewed in the same request; otherwise
        # they would expire while the others are being renewed.
        answer_s = now_s + self.expected_answer_s(step, len(chosen))
        expired = [
            w.worker_id for w in chosen if not self.has_valid_ticket(step, w.worker_id, answer_s)
        ]
        return (
            bool(expired)
            and self._has_turn(step, True, now_s)
            and self._send_request(step, expired, now_s)
        )

    def renew_gang_tickets(self, step: Step, plan: GangPlan, now_s: float) -> bool:
        """Request the tickets of a gang so that all are valid when it is expected to start.

        All workers of the plan are named at once. If only expired tickets were renewed, the workers
        would be in requests of different times, and their tickets hardly ever valid together.

        Returns:
            Whether a request was sent.
        """
        worker_ids = [worker.worker_id for worker in plan.counts]
        answer_s = now_s + self.expected_answer_s(step, len(worker_ids))
        if plan.start_s > answer_s + _RENEWAL_LEAD_S:
            return False
        if all(self.has_valid_ticket(step, worker_id, answer_s) for worker_id in worker_ids):
            return False
        return self._has_turn(step, True, now_s) and self._send_request(step, worker_ids, now_s)

    def _send_requests(self, step: Step, worker_ids: list[str], now_s: float) -> None:
        """Ask about many workers with one request, or with several that are served in parallel."""
        count = 1
        if step.spec.gang:
            count = math.ceil(len(worker_ids) / _PARALLEL_REQUEST_WORKERS)
            count = min(count, self._parallel_requests_max())
        for number in range(count):
            self._order_request(step, worker_ids[number::count], now_s)

    def _send_request(self, step: Step, worker_ids: list[str], now_s: float) -> bool:
        expected_answer_s = self.expected_answer_s(step, len(worker_ids))
        if (
            step.approval_asked_s is not None
            and now_s < step.approval_asked_s + expected_answer_s + _REPEAT_AFTER_S
        ):
            return False
        # The tickets of a gang must be valid together. Single tasks ask again for the others.
        end = len(worker_ids) if step.spec.gang else 1
        for first in range(0, end, _REQUEST_WORKERS_MAX):
            self._order_request(step, worker_ids[first : first + _REQUEST_WORKERS_MAX], now_s)
        return True

    def _order_request(self, step: Step, worker_ids: list[str], now_s: float) -> None:
        step.approval_asked_s = now_s
        step.open_requests_count += 1
        if not has_short_requests(step.job.queue.approval):
            self._long_requests[step.name] += 1
        self._outbox.append(
            AskApproval(step=step.name, worker_ids=tuple(worker_ids[:_REQUEST_WORKERS_MAX]))
        )
