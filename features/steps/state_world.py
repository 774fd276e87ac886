"""Simulation of the candidates, workers and domain stream of a failure domain in virtual time."""

import heapq
import itertools
import random

import attrs

from fireflywharf_core.leases import GranterLease, LeaseGained, LeaseTable, UnwantedLeaseGranted
from fireflywharf_core.log import DomainFold
from fireflywharf_core.membership import (
    ActAsScheduler,
    ClaimWorkers,
    ElectionView,
    PeerTable,
    SchedulerElection,
    plan_worker_changes,
)
from fireflywharf_core.messages import Heartbeat
from fireflywharf_core.platform import VmInfo, VmRole
from fireflywharf_core.records import WorkerAdded

TICK_S = 0.1
LEASE_S = 5.0


def make_worker_vm(name):
    """Return the entry of a worker in the VM list."""
    return VmInfo(name=name, role=VmRole.WORKER, address=name, region="r", failure_domain="d")


@attrs.define
class ModelWorker:
    """Worker with its own clock rate."""

    clock_rate: float
    lease: GranterLease = attrs.field(factory=GranterLease)
    alive: bool = True


class Candidate:
    """Entry VM that connects lease table, peers, election and fold in the way of the daemon."""

    def __init__(self, world, vm_name, clock_rate):
        self.world = world
        self.vm_name = vm_name
        self.clock_rate = clock_rate
        self.incarnation = f"{vm_name}#{next(world.serial_numbers)}"
        self.paused_until_s = 0.0
        self.cut_from_log = False
        self.forgets_released = world.rng.random() < 0.5
        self.worker_leases = LeaseTable(LEASE_S, rng=random.Random(self.incarnation))
        self.peers = PeerTable(self.incarnation)
        self.election = SchedulerElection("d", self.incarnation)
        self.fold = DomainFold(100_000.0)
        self.sequence = 0
        self.records_read_count = 0
        self.known_workers_read_s = None
        self.is_change_pending = False
        self.answered_s_by_worker = {}
        self.decision = None
        self.next_heartbeat_s = 0.0

    def now_s(self):
        """Return the time of the own clock in seconds."""
        return self.world.now_s * self.clock_rate

    def may_command(self):
        """Return whether the candidate may command workers now."""
        known = self.fold.workers_
        held = self.worker_leases.held(self.now_s()) & known.keys()
        return self.election.may_command(len(held), len(known))

    def tick(self):
        """Read the log, decide, claim or release leases, and send a heartbeat if due."""
        now_s = self.now_s()
        self.read_log(now_s)
        known = self.fold.workers_
        for name in self.worker_leases.take_lost(now_s):
            self.election.on_lost(name)
        view = ElectionView(
            known_workers=known,
            held_workers=self.worker_leases.held(now_s),
            known_workers_read_s=self.known_workers_read_s,
            peers=self.peers.peers(now_s),
        )
        self.decision = self.election.decide(view, now_s)
        if isinstance(self.decision, ActAsScheduler | ClaimWorkers):
            self.worker_leases.track(known, now_s)
            self.worker_leases.forget(set(self.worker_leases.names()) - known.keys())
            for name in self.worker_leases.take_due(now_s):
                self.world.send_claim(self, name, self.worker_leases.record_claim_sent(name, now_s))
        else:
            for name, epoch in self.worker_leases.release(self.worker_leases.names(), now_s):
                self.world.send_release(name, epoch)
            if self.forgets_released:
                self.worker_leases.forget(self.worker_leases.names())
        if isinstance(self.decision, ActAsScheduler):
            assert 2 * len(view.held_workers & known.keys()) > len(known), self.decision
            self.change_workers(now_s)
        if now_s >= self.next_heartbeat_s:
            self.next_heartbeat_s = now_s + 0.5
            self.world.broadcast(self, self.make_heartbeat())

    def read_log(self, now_s):
        """Fold new records of the domain stream, unless cut off from the log."""
        if self.cut_from_log:
            return
        for record in self.world.log[self.records_read_count :]:
            self.fold.fold(self.records_read_count, record, now_s)
            self.records_read_count += 1
            self.is_change_pending = False
        self.known_workers_read_s = now_s

    def change_workers(self, now_s):
        """Append the next change of the worker set, if one is due."""
        silent = {n: s for n, s in self.answered_s_by_worker.items() if now_s - s > 3}
        changes = plan_worker_changes(
            self.fold.workers_, self.world.listed_workers, silent, self.is_change_pending, now_s
        )
        for record in changes:
            self.is_change_pending = True
            self.world.send(lambda r=record: self.world.log.append(r))

    def make_heartbeat(self):
        """Return the next heartbeat of this VM."""
        self.sequence += 1
        return Heartbeat(
            incarnation=self.incarnation,
            vm_name=self.vm_name,
            domain="d",
            sequence=self.sequence,
            scheduler=self.election.acting,
            held_workers_count=self.worker_leases.held_count(self.now_s()),
        )

    def on_claim_answer(self, name, grant, sent_s):
        """Handle the answer of a worker to a claim sent at `sent_s`."""
        now_s = self.now_s()
        self.answered_s_by_worker[name] = now_s
        if not grant.granted:
            self.worker_leases.on_refused(name, grant.epoch, now_s)
            return
        match self.worker_leases.on_granted(name, grant.epoch, sent_s, now_s, grant.remaining_s):
            case UnwantedLeaseGranted(epoch):
                self.world.send_release(name, epoch)
            case LeaseGained():
                self.election.on_report(name)


class DomainWorld:
    """Candidates, workers, the domain stream and a network that delays and loses messages."""

    def __init__(self, seed, candidates_count=3, workers_count=5):
        self.rng = random.Random(seed)
        self.serial_numbers = itertools.count()
        self.now_s = 0.0
        self.loss = 0.02
        self.slow = 0.02
        self.queue = []
        names = [f"w{index}" for index in range(workers_count)]
        self.workers = {name: ModelWorker(self.rng.uniform(0.99, 1.01)) for name in names}
        self.listed_workers = {name: make_worker_vm(name) for name in names}
        self.log = [WorkerAdded(vm) for vm in self.listed_workers.values()]
        self.candidates = []
        for index in range(candidates_count):
            self.add_candidate(f"vm{index}")

    def add_candidate(self, vm_name):
        """Add a candidate with a random clock rate."""
        self.candidates.append(Candidate(self, vm_name, self.rng.uniform(0.99, 1.01)))

    def restart(self, index):
        """Replace a candidate by a new incarnation on the same VM."""
        old = self.candidates.pop(index)
        self.add_candidate(old.vm_name)

    def send(self, action, can_be_lost=False):
        """Call `action` after a random delay, or never if the message is lost."""
        if can_be_lost and self.rng.random() < self.loss:
            return
        delay_s = self.rng.uniform(0.001, 0.05)
        if self.rng.random() < self.slow:
            delay_s = self.rng.uniform(0.05, 4.0)
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.serial_numbers), action))

    def deliver(self, candidate, action):
        """Call `action` at a candidate, or after its pause if it is paused."""
        if candidate not in self.candidates:
            return
        if self.now_s < candidate.paused_until_s:
            item = (candidate.paused_until_s, next(self.serial_numbers))
            heapq.heappush(self.queue, (*item, lambda: self.deliver(candidate, action)))
            return
        action()

    def send_claim(self, candidate, name, sent_s):
        """Send the claim of a candidate to a worker, which answers it."""

        def receive():
            worker = self.workers[name]
            if not worker.alive:
                return
            grant = worker.lease.claim(
                candidate.incarnation, LEASE_S, self.now_s * worker.clock_rate
            )
            answer = lambda: candidate.on_claim_answer(name, grant, sent_s)  # noqa: E731
            self.send(lambda: self.deliver(candidate, answer), can_be_lost=True)

        self.send(receive, can_be_lost=True)

    def send_release(self, name, epoch):
        """Send the release of a lease to a worker."""
        worker = self.workers[name]
        self.send(
            lambda: worker.alive and worker.lease.release(epoch, self.now_s * worker.clock_rate),
            can_be_lost=True,
        )

    def broadcast(self, sender, heartbeat):
        """Send a heartbeat to all other candidates."""
        for peer in self.candidates:
            if peer is not sender:
                receive = lambda p=peer: p.peers.on_heartbeat(heartbeat, p.now_s())  # noqa: E731
                self.send(lambda p=peer, r=receive: self.deliver(p, r), can_be_lost=True)

    def acting(self):
        """Return the candidates that may command workers now."""
        return [candidate for candidate in self.candidates if candidate.may_command()]

    def run(self, duration_s):
        """Advance the time, and check after each event that at most one candidate may act."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            tick_s = self.now_s + TICK_S
            while self.queue and self.queue[0][0] <= tick_s:
                self.now_s, _, action = heapq.heappop(self.queue)
                action()
                self.check_single_scheduler()
            self.now_s = tick_s
            for candidate in list(self.candidates):
                if self.now_s >= candidate.paused_until_s:
                    candidate.tick()
                self.check_single_scheduler()

    def check_single_scheduler(self):
        """Check that at most one candidate may act, and only by its decision."""
        acting = self.acting()
        assert len(acting) <= 1, (self.now_s, [c.incarnation for c in acting])
        for candidate in self.candidates:
            # A decision without a majority must not allow commands.
            allowed = isinstance(candidate.decision, ActAsScheduler)
            assert allowed or not candidate.may_command(), candidate.decision
