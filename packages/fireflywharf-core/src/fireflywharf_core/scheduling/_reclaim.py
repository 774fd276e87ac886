"""Taking room back from running work, step by step as contracts allow."""

from collections.abc import Callable

import attrs

from ..contracts import Contract, ReclaimStep
from ..jobs import JobKind
from ..resources import ResourceVector
from ._attempts import AttemptTable
from ._model import Attempt, Job, Worker, Zone
from ._placement import FreeIndex
from ._rooms import Rooms

PROMISE_S = 10.0


@attrs.define(slots=True)
class _Recall:
    attempt: Attempt
    steps: list[ReclaimStep]
    next_step: int
    due_s: float
    wait_s: float


class Reclaimer:
    """Reclaims attempts and promises their room to the job that needs it.

    Args:
        rooms: zones of workers.
        attempts: table of attempts.
        contract_of: returns the contract of a customer, or None.
    """

    def __init__(
        self,
        rooms: Rooms,
        attempts: AttemptTable,
        contract_of: Callable[[str], Contract | None],
    ) -> None:
        self.rooms = rooms
        self.attempts = attempts
        self.contract_of = contract_of
        self.by_customer: dict[str, dict[object, Attempt]] = {}
        self.promises: dict[str, list[Worker]] = {}
        self._index = FreeIndex()
        self._recalls: list[_Recall] = []

    def observe_held(self, attempt: Attempt) -> None:
        """Take up an attempt that holds room."""
        attempt.reclaimable = self._may_reclaim(attempt)
        if attempt.reclaimable:
            self._add(attempt.worker, attempt.charged, 1)
            of_customer = self.by_customer.setdefault(attempt.job.spec.customer, {})
            of_customer[attempt.ident] = attempt

    def observe_released(self, attempt: Attempt) -> None:
        """Take up that an attempt holds no room any more."""
        if attempt.reclaimable:
            self._add(attempt.worker, attempt.charged, -1)
            self.by_customer[attempt.job.spec.customer].pop(attempt.ident, None)
            attempt.reclaimable = False

    def observe_charged(self, attempt: Attempt, before: ResourceVector) -> None:
        """Take up a changed charge."""
        if attempt.reclaimable:
            self._add(attempt.worker, attempt.charged - before, 1)

    def _may_reclaim(self, attempt: Attempt) -> bool:
        job = attempt.job
        if job is None or not job.spec.restartable or job.spec.kind is not JobKind.BATCH:
            return False
        contract = self.contract_of(job.spec.customer)
        steps = () if contract is None else contract.reclaim_steps
        return ReclaimStep.CHECKPOINT in steps or ReclaimStep.STOP in steps

    def _add(self, worker: Worker, size: ResourceVector, sign: int) -> None:
        worker.reclaim_cpu += sign * size.processors_millicores
        worker.reclaim_mem += sign * size.memory_mb
        worker.reclaim_acc += sign * size.accelerators_count

    def observe_room(self, worker: Worker) -> None:
        """Take up a change of the room or the zone of a worker."""
        if worker.zone in (Zone.CLOSED, Zone.PROMISED) or not worker.reclaim_cpu:
            self._index.remove(worker.order)
            return
        room = worker.free + ResourceVector(
            worker.reclaim_cpu, worker.reclaim_mem, worker.reclaim_acc
        )
        self._index.put(worker.order, room, worker.vm.capacity.accelerators_count > 0)

    def candidate(self, size: ResourceVector) -> Worker | None:
        """Return a worker whose free and reclaimable room together hold the size."""
        for order, _, _ in self._index.fitting(size):
            return self.rooms.workers.by_order[order]
        return None

    def reclaim(
        self, worker: Worker, job: Job, size: ResourceVector, wait_s: float, now_s: float
    ) -> int:
        """Take room for one task of a job back and promise the worker to the job.

        Args:
            worker: where to make room.
            job: the job that gets the room.
            size: size of its task.
            wait_s: time between two steps.
            now_s: present time.

        Returns:
            Number of attempts that are taken back; zero when the worker cannot make room.
        """
        victims = [a for a in worker.attempts.values() if a.reclaimable]
        # The newest attempts lose the least work.
        victims.sort(key=lambda attempt: -attempt.started_s)
        room, chosen = worker.free, []
        for victim in victims:
            if size.fits_in(room):
                break
            room, chosen = room + victim.charged, [*chosen, victim]
        if not size.fits_in(room):
            return 0
        worker.promised_to, worker.promise_ends_s = job.spec.job_id, now_s + PROMISE_S
        self.promises.setdefault(job.spec.job_id, []).append(worker)
        self.rooms.set_zone(worker, Zone.PROMISED)
        for victim in chosen:
            self.recall(victim, wait_s, now_s)
        self.observe_room(worker)
        return len(chosen)

    def recall(self, attempt: Attempt, wait_s: float, now_s: float) -> None:
        """Start the contract's steps against one attempt."""
        contract = self.contract_of(attempt.job.spec.customer)
        order = (ReclaimStep.CHECKPOINT, ReclaimStep.THROTTLE, ReclaimStep.STOP)
        steps = [step for step in order if step in contract.reclaim_steps]
        self.observe_released(attempt)
        recall = _Recall(attempt, steps, 0, now_s, wait_s)
        self._recalls.append(recall)
        self._step(recall, now_s)

    def _step(self, recall: _Recall, now_s: float) -> None:
        self.attempts.reclaim(recall.attempt, recall.steps[recall.next_step], now_s)
        recall.next_step += 1
        recall.due_s = now_s + recall.wait_s

    def decide(self, now_s: float) -> None:
        """Take due steps and end promises that were not used."""
        active = []
        for recall in self._recalls:
            attempt = recall.attempt
            if attempt.worker.attempts.get(attempt.ident) is not attempt:
                continue
            if now_s >= recall.due_s:
                recall.next_step = min(recall.next_step, len(recall.steps) - 1)
                self._step(recall, now_s)
            active.append(recall)
        self._recalls = active
        for job_id, workers in list(self.promises.items()):
            for worker in list(workers):
                if now_s >= worker.promise_ends_s or worker.zone is not Zone.PROMISED:
                    self.end_promise(job_id, worker)

    def end_promise(self, job_id: str, worker: Worker) -> None:
        """Open a promised worker to all work again."""
        workers = self.promises.get(job_id, [])
        if worker in workers:
            workers.remove(worker)
        if not workers:
            self.promises.pop(job_id, None)
        worker.promised_to = ""
        if worker.zone is Zone.PROMISED:
            self.rooms.set_zone(worker, Zone.GENERAL)
        self.observe_room(worker)

    def promised_room(self, job: Job, size: ResourceVector) -> Worker | None:
        """Return a worker promised to the job that has room now."""
        for worker in self.promises.get(job.spec.job_id, ()):
            if worker.zone is Zone.PROMISED and worker.fits(size):
                return worker
        return None

    def forget_job(self, job: Job) -> None:
        """End the promises to a job that needs no room any more."""
        for worker in list(self.promises.get(job.spec.job_id, ())):
            self.end_promise(job.spec.job_id, worker)
