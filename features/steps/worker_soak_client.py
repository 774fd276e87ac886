"""Clients of the worker soak: they submit jobs over open connections and ask for their states."""

import asyncio
import json
import time

import aiohttp
import attrs
from platform_processes import HOST

from fireflywharf_testing import JobAnswer

CALL_TIMEOUT_S = 3.0
ATTEMPTS_COUNT = 5
RETRY_PAUSE_S = 0.3
CLIENTS_COUNT = 16
PATH_PREFIX = "/jobs/"
POLL_PAUSE_S = 0.25
WORK_MIN_S, WORK_MAX_S = 0.5, 4.0
LONG_SHARE = 0.5
JOB_SHAPES = ("single", "single", "single", "wide", "gang", "steps")


def draw_work_s(rng, longest_s):
    """Return a run time in seconds; half of the tasks are short if longer ones are allowed."""
    if longest_s > WORK_MAX_S and rng.random() < LONG_SHARE:
        return round(rng.uniform(WORK_MAX_S, longest_s), 2)
    return round(rng.uniform(WORK_MIN_S, WORK_MAX_S), 2)


def make_job(rng, work_max_s=WORK_MAX_S):
    """Return the body of a random submission: a single task, a wide job, a gang or two steps."""
    work_s = draw_work_s(rng, work_max_s)
    step = {
        "count": 1,
        "cpu": rng.choice([500, 1000]),
        "mem_mb": 256,
        "estimate_ms": int(work_s * 1000),
    }
    spec, steps = {"work_s": work_s}, [step]
    match rng.choice(JOB_SHAPES):
        case "wide":
            step["count"] = rng.randint(4, 12)
        case "gang":
            step |= {"count": rng.randint(2, 4), "gang": True}
            spec["members_count"] = step["count"]
        case "steps":
            step["count"] = rng.randint(1, 3)
            steps.append({**step, "count": rng.randint(1, 2), "after": [0]})
    return {"spec": json.dumps(spec), "steps": steps}


@attrs.define
class Client:
    """A client that keeps its connection to one daemon until a call fails."""

    daemon: object


class Clients:
    """All clients of one run.

    Args:
        daemons: the daemons.
        rng: source of the jobs and their times.
        work_max_s: longest run time of a task.

    Attributes:
        accepted_s: time of the acceptance of each accepted job, by id.
        answers: answers about the states of accepted jobs during the traffic.
        submitted_count: number of submitted jobs.
    """

    def __init__(self, daemons, rng, work_max_s=WORK_MAX_S):
        self.daemons, self.rng, self.work_max_s = daemons, rng, work_max_s
        self.accepted_s, self.answers = {}, []
        self.submitted_count = 0
        self._clients = [Client(daemons[number % len(daemons)]) for number in range(CLIENTS_COUNT)]
        self._session = None
        self._calls = set()

    async def open(self):
        """Open the session that keeps the connections."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        )

    async def close(self):
        """End all calls and close the connections."""
        for call in list(self._calls):
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def send_traffic(self, seconds, jobs_per_s):
        """Submit jobs at a rate and ask for states, until the time is over and calls have ended."""
        end_s = time.monotonic() + seconds
        poller = asyncio.create_task(self._poll_states(end_s))
        while time.monotonic() < end_s:
            self.submitted_count += 1
            job_id = f"{self.rng.getrandbits(64):016x}"
            call = asyncio.create_task(self._submit(job_id, make_job(self.rng, self.work_max_s)))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / jobs_per_s)
        await asyncio.gather(poller, *self._calls)

    async def ask_all(self, job_ids):
        """Ask for the states of jobs and return the answers by job id."""
        rows = await asyncio.gather(*(self._ask(job_id) for job_id in job_ids))
        return {row.job_id: row for row in rows}

    async def _submit(self, job_id, job):
        client = self.rng.choice(self._clients)
        for _ in range(ATTEMPTS_COUNT):
            status, _ = await self._call(client, "POST", job_id, job)
            if 200 <= status < 300:
                self.accepted_s[job_id] = time.monotonic()
                return
            if status not in (0, 502, 504):
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _ask(self, job_id):
        client = self.rng.choice(self._clients)
        for _ in range(ATTEMPTS_COUNT):
            daemon = client.daemon
            status, body = await self._call(client, "GET", job_id)
            if status == 200 and "state" in body:
                return JobAnswer(time.monotonic(), daemon.name, job_id, body["state"])
            if status == 410:
                return JobAnswer(time.monotonic(), daemon.name, job_id, "unknown")
            await asyncio.sleep(RETRY_PAUSE_S)
        return JobAnswer(time.monotonic(), daemon.name, job_id, "no answer")

    async def _poll_states(self, end_s):
        while time.monotonic() < end_s:
            await asyncio.sleep(POLL_PAUSE_S)
            if self.accepted_s:
                self.answers.append(await self._ask(self.rng.choice(list(self.accepted_s))))

    async def _call(self, client, method, job_id, body=None):
        """Send one request; return status (0 without an answer) and body."""
        daemon = client.daemon
        try:
            async with self._session.request(
                method,
                f"http://127.0.0.1:{daemon.callers_port}{PATH_PREFIX}{job_id}",
                data=None if body is None else json.dumps(body),
                headers={
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "X-Fireflywharf-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
                },
                timeout=aiohttp.ClientTimeout(CALL_TIMEOUT_S),
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status, content = 0, b""
        if status not in (200, 410):
            client.daemon = self.rng.choice(
                [d for d in self.daemons if d is not daemon] or [daemon]
            )
        try:
            return status, json.loads(content)
        except ValueError:
            return status, {}
