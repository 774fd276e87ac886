"""Tickets that allow workers to run a step."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence

from ._events import Action, ApprovalReceived, AskApproval
from ._names import StepName
from ._placement import fit_count, placeable_count
from ._reservations import eventual_count
from ._specs import Approval, StepSpec, WorkerInfo
from ._state import Step, Worker

_TICKET_MARGIN_S = 0.15
"""Validity that a ticket must have left when an order is sent; covers the way to the worker."""
_FIRST_TICKETS_WAIT_S = 0.25
"""Time that the daemon that accepted a job has, beside the decision, to send its first tickets."""
_REPEAT_AFTER_S = 30.0
"""Time after which a request is repeated although nothing was heard of it; requests that wait for
their turn are not repeated, because each repetition would make all of them wait longer."""
_REQUEST_WORKERS_MAX = 100
"""Workers that one request may name (protocol of the approval service)."""
_USUAL_REQUEST_WORKERS = 30
"""Workers of one request for which objectives allow (rules of the deployment)."""
SHORT_REQUEST_MAX_MS = 50.0
"""Longest time of a short request: about what it takes to store a job and tell the scheduler, so
that its answer delays no start when it is sent meanwhile."""
_INITIAL_RATE = 0.4
"""Share of the named workers that a queue is expected to allow before it was asked."""
_RATE_MIN = 0.1
_RATE_WEIGHT = 0.2
"""Weight of a new answer in the learned share; about the last ten answers count."""
_RENEWAL_INTERVAL_S = 0.5
"""Time between two long requests for further tickets of one step; half the time of a short task."""
_SPARE_SHARE = 0.5
"""Workers named beyond the expected need, as a share of what a second request would cost."""
_FREE_SHARE = 0.5
"""Free share of a worker that is assumed without knowledge of it."""


def approval_request_ms(approval: Approval, workers_count: int) -> float:
    """Return how long the service works on a request that names so many workers."""
    return approval.decision_ms + workers_count * approval.per_worker_ms


def spare_workers_count(approval: Approval) -> int:
    """Return how many workers to name beyond the expected need.

    Answers vary around the learned share, and each further request costs the fixed time again.
    """
    return math.ceil(_SPARE_SHARE * approval.decision_ms / max(0.01, approval.per_worker_ms))


def has_short_requests(approval: Approval) -> bool:
    """Return whether requests of a queue are answered while a job is being stored."""
    return approval_request_ms(approval, _USUAL_REQUEST_WORKERS) <= SHORT_REQUEST_MAX_MS


class ApprovalRates:
    """Learns which share of the named workers each queue allows.

    Attributes:
        rates_: learned share by name of the queue.
    """

    def __init__(self) -> None:
        self.rates_: dict[str, float] = {}

    def observe(self, queue: str, asked_count: int, allowed_count: int) -> None:
        """Take up an answer."""
        if asked_count:
            share = self.predict(queue)
            share += _RATE_WEIGHT * (allowed_count / asked_count - share)
            self.rates_[queue] = max(_RATE_MIN, share)

    def predict(self, queue: str) -> float:
        """Return the share that is expected to be allowed."""
        return self.rates_.get(queue, _INITIAL_RATE)


def sample_workers(
    spec: StepSpec,
    approval: Approval,
    workers: Sequence[WorkerInfo],
    share: float,
    rng: random.Random,
) -> list[str]:
    """Choose workers to ask about without knowledge of their free room.

    Pattern: many short steps arrive at all VMs. Each names a few workers at random, so that
    requests stay short and the steps spread.

    Args:
        spec: the step.
        approval: cost of a request.
        workers: the workers of its service.
        share: share of them that is expected to be allowed.
        rng: source of randomness.
    """
    fitting = [
        (worker.worker_id, count)
        for worker in workers
        if not worker.draining
        and (not spec.required_label or spec.required_label in worker.labels)
        and (count := fit_count(worker.capacity, spec.demand)) > 0
    ]
    if not fitting:
        return []
    places = sum(count for _, count in fitting) / len(fitting) * _FREE_SHARE
    if spec.max_per_worker:
        places = min(places, spec.max_per_worker)
    wanted = math.ceil(spec.tasks_count / max(1.0, places) / share) + spare_workers_count(approval)
    wanted = min(len(fitting), _REQUEST_WORKERS_MAX, wanted)
    return [worker_id for worker_id, _ in rng.sample(fitting, wanted)]


class TicketTracker:
    """Keeps the tickets of steps and asks for new ones.

    Pattern: the service works on one request of a VM at a time, and each worker named makes a
    request longer. A step asks about the workers that have most room now, as many as it is expected
    to need, and about further ones when these do not suffice. The set of workers that may run a
    step never changes, only tickets lapse; a step that waits for room asks again for workers that
    have room.

    Args:
        workers: all workers.
        outbox: receives requests.

    Attributes:
        approval_rates: learned shares of allowed workers.
        long_requests_max: most long requests under way; more would only wait for their turn, with a
            choice of workers that grows old meanwhile.
    """

    def __init__(self, workers: Mapping[str, Worker], outbox: list[Action]) -> None:
        self.approval_rates = ApprovalRates()
        self.long_requests_max = 1
        self._long_requests: set[StepName] = set()
        self._workers = workers
        self._outbox = outbox
        self._early_tickets: dict[StepName, list[ApprovalReceived]] = {}

    def has_valid_ticket(self, step: Step, worker_id: str, now_s: float) -> bool:
        """Return whether a start on the worker carries a ticket that is still valid."""
        entry = step.tickets.get(worker_id)
        return entry is not None and now_s + _TICKET_MARGIN_S < entry[1]

    def is_allowed(self, step: Step, worker_id: str, now_s: float, lapsed: bool) -> bool:
        """Return whether the worker may run the step, with a valid ticket unless `lapsed`."""
        return (
            worker_id in step.tickets if lapsed else self.has_valid_ticket(step, worker_id, now_s)
        )

    def expected_answer_s(self, step: Step, workers_count: int) -> float:
        """Return how long a request that names so many workers takes."""
        return approval_request_ms(step.job.queue.approval, workers_count) / 1000.0

    def find_ticket(self, step: Step, worker_id: str) -> str:
        """Return the ticket for a worker; empty where the queue needs none."""
        entry = step.tickets.get(worker_id)
        return "" if entry is None else entry[0]

    def add_tickets(self, step: Step | None, event: ApprovalReceived, now_s: float) -> None:
        """Keep tickets, also when they come before the job that they are for."""
        self._long_requests.discard(event.step)
        if step is None:
            for name, events in list(self._early_tickets.items()):
                if all(now_s >= kept.expires_s for kept in events):
                    del self._early_tickets[name]
            self._early_tickets.setdefault(event.step, []).append(event)
            return
        self.approval_rates.observe(step.job.queue.name, len(event.asked), len(event.tickets))
        step.asked.update(event.asked)
        step.approval_asked_s = None
        step.blocked_version = -1
        for worker_id, ticket in event.tickets.items():
            step.tickets[worker_id] = (ticket, event.expires_s)

    def apply_early_tickets(self, steps: Iterable[Step], now_s: float) -> None:
        """Use the tickets that came before the job."""
        for step in steps:
            for event in self._early_tickets.pop(step.name, ()):
                self.add_tickets(step, event, now_s)

    def clear_request(self, name: StepName, step: Step | None) -> None:
        """Allow the next request at once."""
        self._long_requests.discard(name)
        if step is not None:
            step.approval_asked_s = None

    def request_tickets(self, step: Step, workers: Mapping[str, Worker], now_s: float) -> bool:
        """Ask about further workers where those that allow the step have too little room.

        Workers that join or come back later are asked about too, because a step may be allowed on
        few workers only.

        Returns:
            Whether the step has a ticket, or needs none.
        """
        approval = step.job.queue.approval
        if approval is None:
            return True
        first = not step.spec.after and step.name.occurrence == 0 and not step.job.inherited
        if first and not step.asked and has_short_requests(approval):
            answer_s = self.expected_answer_s(step, _USUAL_REQUEST_WORKERS) + _FIRST_TICKETS_WAIT_S
            if now_s < step.job.accepted_s + answer_s:
                return False
        if step.approval_asked_s is None and self._can_ask(step):
            named = self._choose_workers(step, workers, now_s)
            if named:
                self._send_request(step, named, now_s)
        return bool(step.tickets)

    def _can_ask(self, step: Step) -> bool:
        return (
            has_short_requests(step.job.queue.approval)
            or len(self._long_requests) < self.long_requests_max
        )

    def _choose_workers(self, step: Step, workers: Mapping[str, Worker], now_s: float) -> list[str]:
        """Return the workers to ask about next; none where that could not help now."""
        missing = float(len(step.waiting))
        for worker_id in step.tickets:
            worker = workers.get(worker_id)
            missing -= 0 if worker is None else self._expect_count(step, worker, now_s)
            if missing <= 0:
                return []
        candidates = []
        for worker_id, worker in workers.items():
            if worker_id not in step.asked:
                count = self._expect_count(step, worker, now_s)
                if count > 0:
                    candidates.append((count, worker_id))
        if not candidates:
            return []
        share = self.approval_rates.predict(step.job.queue.name)
        candidates.sort(reverse=True)
        places = missing / share
        wanted = 0
        while wanted < len(candidates) and places > 0:
            places -= candidates[wanted][0]
            wanted += 1
        wanted = min(_REQUEST_WORKERS_MAX, wanted + spare_workers_count(step.job.queue.approval))
        return [worker_id for _, worker_id in candidates[:wanted]]

    @staticmethod
    def _expect_count(step: Step, worker: Worker, now_s: float) -> float:
        """Return the number of tasks of a step that a worker can be expected to take soon.

        A gang waits until runs on its workers have ended, single tasks go elsewhere.
        """
        count = placeable_count(step, worker, worker.available_capacity(step, now_s))
        if step.spec.gang:
            count = (count + eventual_count(step, worker, now_s)) / 2
        return min(count, len(step.waiting))

    def renew_tickets(self, step: Step, chosen: list[Worker], now_s: float) -> bool:
        """Ask again for workers whose tickets have lapsed.

        Pattern: at full load many steps of single tasks wait, and each end makes room for one task.
        A step collects room for a while before it spends a long request on it.

        Returns:
            Whether a request was sent.
        """
        if not step.spec.gang and not has_short_requests(step.job.queue.approval):
            if now_s < step.renewed_s + _RENEWAL_INTERVAL_S:
                return False
            step.renewed_s = now_s
        if all(self.has_valid_ticket(step, w.worker_id, now_s) for w in chosen):
            return False
        # Tickets that lapse before the answer comes are asked for too, or the next ones would lapse
        # while these are renewed.
        answer_s = now_s + self.expected_answer_s(step, len(chosen))
        lapsed = [
            w.worker_id for w in chosen if not self.has_valid_ticket(step, w.worker_id, answer_s)
        ]
        return bool(lapsed) and self._can_ask(step) and self._send_request(step, lapsed, now_s)

    def _send_request(self, step: Step, worker_ids: list[str], now_s: float) -> bool:
        expected_answer_s = self.expected_answer_s(step, len(worker_ids))
        if (
            step.approval_asked_s is not None
            and now_s < step.approval_asked_s + expected_answer_s + _REPEAT_AFTER_S
        ):
            return False
        step.approval_asked_s = now_s
        if not has_short_requests(step.job.queue.approval):
            self._long_requests.add(step.name)
        self._outbox.append(
            AskApproval(step=step.name, worker_ids=tuple(worker_ids[:_REQUEST_WORKERS_MAX]))
        )
        return True
