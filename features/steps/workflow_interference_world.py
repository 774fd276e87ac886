"""Simulated workers on which tasks slow each other down, and a load of several images."""

import math

import attrs
from workflow_workers import STEP_S, ActiveRun, FakeWorker
from workflow_world import WorkflowWorld

from fireflywharf_core.resources import ResourceVector
from fireflywharf_core.workflows import StartResult, StepSpec


@attrs.define(slots=True, eq=False)
class SharedRun(ActiveRun):
    """A run that advances at a speed that depends on its neighbours."""

    work_s: float = 0.0
    done_s: float = 0.0

    def progress_percent(self, now_s):
        """Return the progress in whole percent."""
        return int(100 * min(1.0, self.done_s / self.work_s))


@attrs.define(slots=True, eq=False)
class SharedWorker(FakeWorker):
    """Worker whose runs share a processor of a given speed."""

    speed: float = 1.0

    def start(self, order, epoch, now_s):
        """Start a run whose work the world draws."""
        key = (order.task, order.number)
        is_new = key not in self.active_runs
        result = FakeWorker.start(self, order, epoch, now_s)
        if result is StartResult.STARTED and is_new:
            run = self.active_runs[key]
            work_s = self.world.draw_work_s(run.spec)
            self.active_runs[key] = SharedRun(
                order, run.spec, now_s, float("inf"), run.will_fail, work_s=work_s
            )
        return result

    def advance(self, now_s):
        """Advance each run by the last interval, then end those whose work is done."""
        for run in self.active_runs.values():
            run.done_s += STEP_S * self.speed * self.speed_factor(run)
            if run.done_s >= run.work_s:
                run.end_due_s = min(run.end_due_s, now_s)
        FakeWorker.advance(self, now_s)

    def speed_factor(self, run):
        """Return the factor on the speed of a run by the present neighbours."""
        images = {other.spec.image for other in self.active_runs.values() if other is not run}
        factors = self.world.speed_factors
        return math.prod(factors.get((run.spec.image, image), 1.0) for image in images)

    def renew_leases(self, epoch, acknowledged, now_s):
        """Add the tail response times, which grow as a run slows down, to the reported runs."""
        answer = FakeWorker.renew_leases(self, epoch, acknowledged, now_s)
        if answer is None:
            return None
        rows = []
        for row in answer[0]:
            run = self.active_runs[row.task, row.number]
            load = self.world.tail_ms / self.speed_factor(run) * self.world.rng.uniform(0.9, 1.1)
            rows.append(attrs.evolve(row, load=load))
        return tuple(rows), answer[1]


class InterferenceWorld(WorkflowWorld):
    """World whose workers report every 0.1 to 1.5 s and slow down certain pairs of images.

    Args:
        seed: seed of the load.
        workers_count: number of workers of 4 processors.
        speed_factors: factor on the speed of the first image of a pair while the second one runs on
            the same worker.
    """

    def __init__(self, seed=1, workers_count=8, speed_factors=None, **options):
        super().__init__(seed=seed, workers_count=workers_count, **options)
        self.speed_factors = dict(speed_factors or {})
        self.work_s = {}
        self.tail_probability = 0.0
        self.tail_ms = 50.0
        self.required_labels = {}
        self.poll_due_s = {}
        self.accepted_s = {}
        self.waits_s = {}
        for name, worker in self.workers.items():
            self.workers[name] = SharedWorker(worker.info, self)

    @property
    def model(self):
        """Model of the present scheduler."""
        return self.scheduler.runs.interference

    def draw_work_s(self, spec):
        """Return the work of a run; the caller's estimate is wrong by up to a factor of two."""
        work_s = self.work_s[spec.image] * (0.7 + 0.6 * self.rng.random())
        return work_s * 7 if self.rng.random() < self.tail_probability else work_s

    def submit_image(self, image, count=1, cpu=1000, **changes):
        """Submit a job of tasks with the given image."""
        estimate_ms = self.work_s[image] * 1000 * 2 ** self.rng.uniform(-1, 1)
        job_id = f"{image}{len(self.steps_by_job)}"
        size = ResourceVector(cpu, 500)
        spec = StepSpec(
            tasks_count=count,
            size=size,
            estimate_ms=estimate_ms,
            image=image,
            required_label=self.required_labels.get(image, ""),
            **changes,
        )
        self.accepted_s[job_id] = self.now_s
        self.submit(job_id, [spec])
        return job_id

    def run_load(self, seconds, rates, each_step=None, cpu=1000):
        """Submit jobs of one task at the given rates per second, by image."""
        for _ in range(round(seconds / STEP_S)):
            for image, rate in rates.items():
                if self.rng.random() < rate * STEP_S:
                    self.submit_image(image, cpu=cpu)
            self.step()
            if each_step is not None:
                each_step()

    def _is_poll_answered(self, name, worker):
        if worker.ends or self.now_s >= self.poll_due_s.get(name, 0.0):
            self.poll_due_s[name] = self.now_s + self.rng.uniform(0.1, 1.5)
            return True
        return False

    def record_done(self, task, spec):
        """Record the time from the submission of a job of one task to its end."""
        super().record_done(task, spec)
        job_id = task.step_name.job_id
        self.waits_s.setdefault(spec.image, []).append(self.now_s - self.accepted_s[job_id])
