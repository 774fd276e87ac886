"""Tickets that allow workers to run a step."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ._events import Action, ApprovalReceived, AskApproval
from ._names import StepName
from ._state import Step, Worker

_TICKET_MARGIN_S = 0.15
"""Validity that a ticket must have left when an order is sent; covers the way to the worker."""
_FIRST_WAIT_S = 0.25
"""Time that the daemon that accepted a job has, beside the decision, to send its first tickets."""
_GIVE_UP_S = 30.0
"""Time after which a request is repeated although nothing was heard of it; requests that wait for
their turn are not repeated, because each repetition would make all of them wait longer."""
_NAMED_MAX = 100
"""Workers that one request may name (protocol of the approval service)."""


class Approvals:
    """Keeps the tickets of steps and asks for new ones.

    The set of workers that may run a step never changes, only tickets lapse. A step that waits for
    room asks again for the workers that have room now.
    """

    def __init__(self, workers: Mapping[str, Worker], outbox: list[Action]) -> None:
        self._workers = workers
        self._outbox = outbox
        self._early: dict[StepName, list[ApprovalReceived]] = {}

    def valid(self, step: Step, worker_id: str, now_s: float) -> bool:
        """Return whether a start on the worker carries a ticket that is still valid."""
        entry = step.tickets.get(worker_id)
        return entry is not None and now_s + _TICKET_MARGIN_S < entry[1]

    def allows(self, step: Step, worker_id: str, now_s: float, lapsed: bool) -> bool:
        """Return whether the worker may run the step, with a valid ticket unless `lapsed`."""
        return worker_id in step.tickets if lapsed else self.valid(step, worker_id, now_s)

    def expected_s(self, step: Step, workers_count: int) -> float:
        """Return how long a request that names so many workers takes."""
        approval = step.job.queue.approval
        return (approval.decision_ms + workers_count * approval.per_worker_ms) / 1000.0

    def ticket(self, step: Step, worker_id: str) -> str:
        """Return the ticket for a worker; empty where the queue needs none."""
        entry = step.tickets.get(worker_id)
        return "" if entry is None else entry[0]

    def received(self, step: Step | None, event: ApprovalReceived, now_s: float) -> None:
        """Keep tickets, also when they come before the job that they are for."""
        if step is None:
            for name, events in list(self._early.items()):
                if all(now_s >= kept.expires_s for kept in events):
                    del self._early[name]
            self._early.setdefault(event.step, []).append(event)
            return
        step.asked.update(event.asked)
        step.approval_s = None
        step.blocked_room = -1
        for worker_id, ticket in event.tickets.items():
            step.tickets[worker_id] = (ticket, event.expires_s)

    def job_added(self, steps: Iterable[Step], now_s: float) -> None:
        """Use the tickets that came before the job."""
        for step in steps:
            for event in self._early.pop(step.name, ()):
                self.received(step, event, now_s)

    def failed(self, step: Step | None, now_s: float) -> None:
        """Allow the next request at once."""
        if step is not None:
            step.approval_s = None

    def prepare(self, step: Step, workers: list[Worker], now_s: float) -> bool:
        """Ask about workers that no request has named yet, if nobody else does.

        Workers that join or come back later are asked about too, because a step may be allowed on
        few workers only.

        Returns:
            Whether the step has an answer, or needs none.
        """
        approval = step.job.queue.approval
        if approval is None:
            return True
        unasked = [w.worker_id for w in workers if w.worker_id not in step.asked]
        if not unasked:
            return bool(workers)
        expected_s = self.expected_s(step, len(unasked))
        first = not step.spec.after and step.name.occurrence == 0
        waited_s = now_s - step.job.accepted_s
        if first and not step.job.inherited and waited_s < expected_s + _FIRST_WAIT_S:
            return bool(step.asked)
        self._ask(step, unasked, expected_s, now_s)
        return bool(step.asked)

    def renew(self, step: Step, chosen: list[Worker], now_s: float) -> bool:
        """Ask again for workers whose tickets have lapsed.

        Returns:
            Whether a request was sent.
        """
        lapsed = [w.worker_id for w in chosen if not self.valid(step, w.worker_id, now_s)]
        if not lapsed:
            return False
        return self._ask(step, lapsed, self.expected_s(step, len(lapsed)), now_s)

    def _ask(self, step: Step, worker_ids: list[str], expected_s: float, now_s: float) -> bool:
        if step.approval_s is not None and now_s < step.approval_s + expected_s + _GIVE_UP_S:
            return False
        step.approval_s = now_s
        self._outbox.append(AskApproval(step=step.name, worker_ids=tuple(worker_ids[:_NAMED_MAX])))
        return True
