"""Randomized faults of workers and daemons on the users' platform, judged from outside.

The daemons are processes with a real clock. Whether a rule holds is decided only by what the
stand-in workers and the clients have seen, never by the logs of the daemons.
"""

import asyncio
import collections
import random
import sys
import time
from types import SimpleNamespace

import attrs
from platform_processes import PlatformDaemon, PlatformDeployment
from run_folders import keep_run_folders
from soak import FaultProxy
from worker_soak_client import WORK_MAX_S, Clients
from worker_soak_faults import Faults

from fireflywharf_testing import check_answers, check_finished, check_twice, describe_breach

FINISH_S = 14.0
"""Time after the traffic at which the clients ask for all jobs (`finish_s`)."""
IDLE_S = 3.0
WARM_UP_S = 2.0
MAX_ATTEMPTS = 3
LONG_WORK_MAX_S = {"partitions": 20.0}
"""Longest run time of a task by mix, if it is not `WORK_MAX_S`.

A run must outlast its lease and the election of a scheduler to be given up while it is at work."""
ROOM_TASKS_COUNT = 16
"""Tasks of the largest size that fit on one worker."""


class WorkerSoakDaemon(PlatformDaemon):
    """A daemon with the settings of a machine of the users' platform."""

    def _settings(self, world, first):
        settings = super()._settings(world, first)
        settings["platform"] |= {
            "form": "log",
            "parts": 24,
            "record_bytes": 262144,
            "request_bytes": 2097152,
        }
        settings["bounds"] |= {"config_apply_ms": 2500}
        return settings | {
            "role": "entry",
            "machine_class": "edge",
            "serves": ["edge"],
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "link_mbps": 1000.0},
            "heartbeat_ms": 1500,
            "orders": "invocation",
        }


@attrs.frozen
class SoakPlan:
    """What a run does.

    Args:
        seed: seed of the faults and of the jobs.
        mix: name of the mix of faults; `none` for a run without faults.
        seconds: length of the traffic in seconds.
        workers_count: number of workers.
        daemons_count: number of daemons.
        jobs_per_s: rate of the submissions.
        forgets_later_ends: whether a number that is acknowledged also forgets ends that come later
            in the same life of a worker; otherwise it forgets those that are listed.
        work_max_s: longest run time of a task; follows from the mix.
    """

    seed: int
    mix: str
    seconds: float
    workers_count: int = 8
    daemons_count: int = 3
    jobs_per_s: float = 8.0
    forgets_later_ends: bool = True
    work_max_s: float = attrs.field()

    @work_max_s.default
    def _find_work_max_s(self):
        return LONG_WORK_MAX_S.get(self.mix, WORK_MAX_S)


class WorkerSoak:
    """One run of daemons, workers and clients under the faults of a seed.

    Args:
        plan: what the run does.

    Attributes:
        breaches: broken rules, in the order TWICE, LOST.
        events: what the workers have seen, with times in seconds since the start of the traffic.
        summary: numbers of jobs, runs and faults.
        kept_folders: copies of the logs and of the events, if the run failed.
    """

    def __init__(self, plan):
        self.plan = plan
        self.breaches, self.events, self.kept_folders = [], [], []
        self.summary = ""
        self.deployment = PlatformDeployment(
            0,
            executors_count=0,
            workers_count=plan.workers_count,
            seed=plan.seed,
            forgets_later_ends=plan.forgets_later_ends,
        )
        self.world = self.deployment.world
        self.proxies = [FaultProxy(self.world.store_address) for _ in range(plan.daemons_count)]
        for index, proxy in enumerate(self.proxies):
            self.world.call(proxy.open)
            proxied_world = SimpleNamespace(
                store_address=proxy.address, advice_address=self.world.advice_address
            )
            self.deployment.daemons.append(
                WorkerSoakDaemon(f"vm-{index}", proxied_world, str(self.deployment.folder))
            )
        rng = random.Random(f"clients {plan.seed}")
        self.clients = Clients(self.deployment.daemons, rng, plan.work_max_s)
        self.faults = None
        if plan.mix != "none":
            rng = random.Random(f"faults {plan.seed}")
            self.faults = Faults(self.world, self.deployment.daemons, self.proxies, plan.mix, rng)

    def run(self):
        """Run the traffic under faults, wait until jobs must have ended, and judge the run."""
        try:
            self.deployment.start()
            time.sleep(WARM_UP_S)
            self.world.run(self._play())
        finally:
            if self.faults is not None:
                self.faults.resume_daemons()
            for proxy in self.proxies:
                self.world.call(proxy.close)
            self.world.run(self.clients.close())
            if self.breaches or sys.exc_info()[0] is not None:
                self._keep()
            self.deployment.close()

    async def _play(self):
        await self.clients.open()
        begin_s, plan = time.monotonic(), self.plan
        traffic = [self.clients.send_traffic(plan.seconds, plan.jobs_per_s)]
        if self.faults is not None:
            traffic.append(self.faults.run(plan.seconds))
        await asyncio.gather(*traffic)
        await asyncio.sleep(max(0.0, begin_s + plan.seconds + FINISH_S - time.monotonic()))
        final = await self.clients.ask_all(self.clients.accepted_s)
        unfinished = [job_id for job_id, row in final.items() if row.state != "complete"]
        if unfinished:
            await asyncio.sleep(IDLE_S)
            final |= await self.clients.ask_all(unfinished)
        self._judge(begin_s, final)

    def _judge(self, begin_s, final):
        """Apply the checks; all times become seconds since the start of the traffic."""

        def shift(row):
            return attrs.evolve(row, time_s=row.time_s - begin_s)

        self.events = [shift(event) for event in self.world.events]
        final = {job_id: shift(answer) for job_id, answer in final.items()}
        answers = [shift(row) for row in self.clients.answers]
        accepted_s = {job: at_s - begin_s for job, at_s in self.clients.accepted_s.items()}
        faults_s = {
            name: [(from_s - begin_s, to_s - begin_s) for from_s, to_s in rows]
            for name, rows in (self.faults.daemon_faults_s if self.faults else {}).items()
        }
        room = ROOM_TASKS_COUNT * sum(worker.is_up for worker in self.world.workers)
        finished = check_finished(final, self.events, room)
        lost = check_answers(accepted_s, answers, faults_s, self.events, MAX_ATTEMPTS)
        known = {breach.subject for breach in finished}
        self.breaches = check_twice(self.events, self.plan.forgets_later_ends) + finished
        self.breaches += [breach for breach in lost if breach.subject not in known]
        self.summary = self._summarize(final)

    def _summarize(self, final):
        states = collections.Counter(answer.state for answer in final.values())
        kinds = collections.Counter(type(event).__name__ for event in self.events)
        return (
            f"{self.clients.submitted_count} jobs submitted, {len(final)} accepted, "
            f"{states['complete']} complete, {kinds['RunStarted']} runs, "
            f"{self.faults.count if self.faults else 0} faults"
        )

    def count_breaches(self):
        """Return the numbers of breaches by rule, and by kind in brackets, as text."""
        counts = []
        for rule in ("TWICE", "LOST"):
            kinds = collections.Counter(row.kind for row in self.breaches if row.rule == rule)
            listed = ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items()))
            counts.append(f"{rule} {kinds.total()}" + (f" ({listed})" if listed else ""))
        return ", ".join(counts)

    def describe(self, breaches_count=3):
        """Return breaches, the first of each kind first, with their events, as lines."""
        seen = collections.Counter()
        ranked = []
        for breach in self.breaches:
            seen[breach.rule, breach.kind] += 1
            ranked.append((seen[breach.rule, breach.kind], breach))
        ranked.sort(key=lambda row: row[0])
        return [
            line
            for _, breach in ranked[:breaches_count]
            for line in describe_breach(breach, self.events)
        ]

    def _keep(self):
        """Keep the logs of the daemons, the breaches and all events."""
        rows = [*self.describe(len(self.breaches)), "", *map(str, self.events)]
        (self.deployment.folder / "worker-soak.txt").write_text("\n".join(rows) + "\n")
        self.kept_folders = keep_run_folders(f"worker soak {self.plan.mix} seed {self.plan.seed}")
