"""Simulation of entry VMs, targets and a key log whose messages are delivered in any order."""

from routing_fakes import (
    IN_FLIGHT_AFTER_CUT_S,
    LEASE_S,
    SERVICE,
    EntryVm,
    FakeTarget,
    make_target_vm,
    original_request_id,
)

from fireflywharf_core.platform import TargetStatus
from fireflywharf_core.records import KeyClaimed, KeyOutcome
from fireflywharf_core.results import Completed, NotRun
from fireflywharf_core.routing import (
    Answer,
    AskKeyHolder,
    CallerDisconnected,
    ClaimKey,
    DrainStarted,
    ForwardAnswered,
    ForwardToPeer,
    KeyClaimRead,
    KeyClaimUnconfirmed,
    KeyOutcomeRead,
    PeerLost,
    PeerSlotsReported,
    PollTarget,
    RecordKeyOutcome,
    RequestArrived,
    RoutingPolicy,
    SendFailed,
    SendRefusalReason,
    SendRefused,
    SendSucceeded,
    SendToTarget,
    TargetDelisted,
    TargetLeaseGranted,
    TargetLeaseLost,
    TargetLeaving,
    TargetListed,
    TargetStatusReceived,
)


class RoutingWorld:
    """Two entry VMs, two targets and a key log.

    Attributes:
        in_flight: functions that each deliver one message.
        starts: ids of the sends that reached a target, by request.
        answers: outcomes by incarnation and request.
        disconnected: requests whose callers have disconnected.
    """

    def __init__(self, policy=None):
        # The budget is large, because an empty one would hide a retry that must not be made.
        self.policy = policy or RoutingPolicy(hedge_min_observations=3, retry_budget_ratio=1.0)
        self.now_s, self.in_flight, self.log, self.is_log_up = 0.0, [], [], True
        self.targets = [FakeTarget("target-1", 2), FakeTarget("target-2", 1)]
        self.origins, self.requests, self.answers = {}, {}, {}
        self.starts, self.disconnected, self.booted_vms_count = {}, set(), 0
        self.vms = [self._boot_vm("entry-1"), self._boot_vm("entry-2")]

    def _boot_vm(self, name):
        self.booted_vms_count += 1
        return EntryVm(self, name, self.booted_vms_count)

    def run(self, steps):
        """Run a list of (operation, number), let all requests end, and check the guarantees."""
        for operation, number in steps:
            getattr(self, operation)(number)
            self.execute_actions()
        self.end_all_requests()

    def execute_actions(self):
        """Execute the actions of all routers."""
        for vm in self.vms:
            for action in vm.router.decide(self.now_s):
                self._execute(vm, action)

    def _execute(self, vm, action):
        match action:
            case Answer(request_id, outcome):
                self.answers.setdefault((vm.incarnation, request_id), []).append(outcome)
                self._answer_forward(vm, request_id, outcome)
            case SendToTarget(send_id, request_id, target, epoch, _):
                vm.live_sends[send_id] = request_id
                self.in_flight.append(lambda: self._deliver_send(vm, send_id, target, epoch))
            case ForwardToPeer(send_id, request_id, incarnation, remaining_ms):
                vm.live_sends[send_id] = request_id
                self._forward(vm, send_id, request_id, incarnation, remaining_ms, False)
            case AskKeyHolder(send_id, request_id, incarnation, remaining_ms):
                vm.live_sends[send_id] = request_id
                self._forward(vm, send_id, request_id, incarnation, remaining_ms, True)
            case ClaimKey(request_id, customer, key, digest):
                record = KeyClaimed(customer, key, vm.incarnation, digest.hex(), self.now_s)
                self.in_flight.append(lambda: self._append_record(vm, record, request_id))
            case RecordKeyOutcome(customer, key, code, status, body):
                self.in_flight.append(
                    lambda: self._append_record(vm, KeyOutcome(customer, key, code, status, body))
                )
            case PollTarget(name):
                self.in_flight.append(lambda: self._poll_target(vm, name))

    def _find_target(self, name):
        return next(target for target in self.targets if target.name == name)

    def _deliver_send(self, vm, send_id, name, epoch):
        """Deliver a request to its target."""
        cut_s = vm.live_sends.get(("cut", send_id))
        if send_id not in vm.live_sends and (
            cut_s is None or self.now_s > cut_s + IN_FLIGHT_AFTER_CUT_S
        ):
            return
        target = self._find_target(name)
        if not target.accepts(epoch, self.now_s):
            self.in_flight.append(
                lambda: self._end_send(vm, SendRefused(send_id, SendRefusalReason.STALE_EPOCH))
            )
            return
        request_id = original_request_id(send_id)
        self.starts.setdefault(request_id, []).append(send_id)
        target.start(send_id, (vm, request_id))

    def _end_send(self, vm, event):
        if vm.live_sends.pop(event.send_id, None) is not None:
            vm.handle_event(event)

    def _append_record(self, vm, record, request_id=None):
        if self.is_log_up:
            self.log.append(record)
        elif request_id is not None:
            # The answer of the log is lost; the record may have been appended.
            if len(self.log) % 2:
                self.log.append(record)
            vm.handle_event(KeyClaimUnconfirmed(request_id))

    def _poll_target(self, vm, name):
        target, asked_s = self._find_target(name), self.now_s
        status = TargetStatus(
            f"boot-{target.boot}", target.epoch, target.leaving, sorted(target.running)
        )
        self.in_flight.append(lambda: vm.handle_event(TargetStatusReceived(name, status, asked_s)))

    def _forward(self, vm, send_id, request_id, incarnation, remaining_ms, sent_to_key_holder):
        def deliver_forward():
            peer = next((p for p in self.vms if p.incarnation == incarnation), None)
            if peer is None or not peer.alive:
                self._end_send(vm, SendRefused(send_id))
                return
            peer.live_sends["from", send_id] = vm, send_id
            arrived = self.requests[original_request_id(request_id)]
            peer.handle_event(
                RequestArrived(
                    request_id=send_id,
                    customer="austral",
                    service=SERVICE,
                    kind=arrived.kind,
                    idempotent=arrived.idempotent,
                    key=arrived.key,
                    deadline_s=remaining_ms / 1000,
                    body_digest=arrived.body_digest,
                    forwarded=True,
                    sent_to_key_holder=sent_to_key_holder,
                )
            )

        self.in_flight.append(deliver_forward)

    def _answer_forward(self, vm, request_id, outcome):
        origin, send_id = vm.live_sends.pop(("from", request_id), (None, ""))
        if origin is not None:
            self.in_flight.append(lambda: self._end_send(origin, ForwardAnswered(send_id, outcome)))

    # Operations of the random sequences; `number` selects the objects that they apply to.

    def arrive(self, number):
        """Let a request arrive: idempotent, with an issued key or with the caller's own key."""
        vm = self.vms[number % 2]
        request_id, form = f"r{len(self.requests)}", number // 2 % 4
        key = ""
        if form == 1:
            owner = self.vms[number // 8 % 2]
            if number // 16 % 2 or not owner.keys:
                owner.keys += owner.router.key_issuer.issue("austral", 1, self.now_s)
            key = owner.keys[number // 32 % len(owner.keys)]
        elif form > 1:
            key = f"own-{number // 8 % 3}"
        event = RequestArrived(
            request_id=request_id,
            customer="austral",
            service=SERVICE,
            kind="short" if number % 3 else "long",
            idempotent=form == 0,
            key=key,
            deadline_s=(0.2, 3.0, 30.0)[number % 3],
            body_digest=f"{key}-content".encode() if number % 7 else b"other-content",
            body_bytes=100,
        )
        self.requests[request_id] = event
        self.origins[request_id] = vm
        vm.handle_event(event)

    def deliver(self, number):
        """Deliver one message, in any order."""
        if self.in_flight:
            self.in_flight.pop(number % len(self.in_flight))()

    def finish_request(self, number):
        """Let a target finish a request; its answer may name another request or be damaged."""
        running = [(t, send_id) for t in self.targets for send_id in t.running]
        if not running:
            return
        target, send_id = running[number % len(running)]
        vm, request_id = target.running.pop(send_id)
        echoed = running[0][1] if number % 11 == 10 else send_id
        body = f"answer to {request_id}".encode()
        event = SendSucceeded(send_id, 200, body, echoed, number % 13 != 12, 0.1)
        self.in_flight.append(lambda: self._end_send(vm, event))

    def cut_connection(self, number):
        """Cut a connection after bytes were sent; the bytes may still arrive."""
        vm = self.vms[number % 2]
        sends = [send_id for send_id in vm.live_sends if isinstance(send_id, str)]
        if sends:
            send_id = sends[number // 2 % len(sends)]
            vm.live_sends["cut", send_id] = self.now_s
            self._end_send(vm, SendFailed(send_id, any_bytes_sent=True))

    def pass_time(self, number):
        """Advance the time, and wake the routers whenever a timer is due."""
        end_s = self.now_s + (0.01, 0.3, 1.0, 6.0)[number % 4]
        while True:
            due = [vm.router.next_wakeup_s() for vm in self.vms]
            due = [at_s for at_s in due if at_s is not None and at_s <= end_s]
            self.now_s = max(self.now_s, min(due, default=end_s))
            self.execute_actions()
            if not due:
                self.now_s = end_s
                return

    def claim(self, number):
        """Let an entry VM claim or renew a target; the answer may be delayed."""
        vm, target = self.vms[number % 2], self.targets[number // 2 % 2]
        asked_s = self.now_s
        if not target.claim(vm.incarnation, self.now_s):
            return
        event = TargetLeaseGranted(
            name=target.name,
            epoch=target.epoch,
            in_progress=sorted(target.running),
            boot_id=f"boot-{target.boot}",
            leaving=target.leaving,
            lease_until_s=asked_s + LEASE_S - 0.25,
            asked_s=asked_s,
        )
        if number % 3:
            vm.handle_event(event)
        else:
            self.in_flight.append(lambda: vm.handle_event(event))

    def lose_lease(self, number):
        """Notify an entry VM that it lost the lease of a target."""
        self.vms[number % 2].handle_event(TargetLeaseLost(self.targets[number // 2 % 2].name))

    def reboot(self, number):
        """Restart a target; its connections break."""
        target = self.targets[number % 2]
        for send_id, (vm, _) in list(target.running.items()):
            self.in_flight.append(lambda v=vm, s=send_id: self._end_send(v, SendFailed(s, True)))
        target.reboot()

    def announce_leaving(self, number):
        """Announce that a target is leaving or was removed from the VM list."""
        target = self.targets[number % 2]
        target.leaving = True
        for vm in self.vms:
            vm.handle_event(
                TargetLeaving(target.name) if number % 4 < 2 else TargetDelisted(target.name)
            )
            vm.handle_event(TargetListed(make_target_vm(target.name, target.slots_count)))

    def report_slots(self, number):
        """Send the free slots of one entry VM to the other."""
        sender, receiver = self.vms[number % 2], self.vms[(number + 1) % 2]
        slots = sender.router.service_slots(self.now_s)
        receiver.handle_event(PeerSlotsReported(sender.incarnation, "centro-1", "centro", slots))

    def read_log(self, number):
        """Let an entry VM read the key log to its end."""
        vm = self.vms[number % 2]
        for record in self.log[vm.log_read_count :]:
            claimed = isinstance(record, KeyClaimed)
            vm.handle_event(KeyClaimRead(record) if claimed else KeyOutcomeRead(record))
        vm.log_read_count = len(self.log)

    def switch_log(self, number):
        """Start or end an outage of the log."""
        self.is_log_up = bool(number % 2)

    def replace_vm(self, number):
        """Kill an entry VM and start another incarnation of it."""
        if number % 3:
            return
        old = self.vms[number % 2]
        old.alive = False
        for other in self.vms:
            for key, origin in list(old.live_sends.items()):
                if isinstance(key, tuple) and key[0] == "from" and origin[0] is other:
                    send_id = origin[1]
                    self.in_flight.append(
                        lambda v=other, s=send_id: self._end_send(v, SendFailed(s, True))
                    )
        self.vms[number % 2] = self._boot_vm(old.name)
        self.vms[(number + 1) % 2].handle_event(PeerLost(old.incarnation))

    def disconnect_caller(self, number):
        """Disconnect the caller of a request."""
        if self.requests:
            request_id = list(self.requests)[number % len(self.requests)]
            self.disconnected.add(request_id)
            for vm in self.vms:
                vm.handle_event(CallerDisconnected(request_id))

    def start_draining(self, number):
        """Start draining an entry VM."""
        if not number % 5:
            self.vms[number % 2].handle_event(DrainStarted())

    def end_all_requests(self):
        """Deliver all messages, let all deadlines pass, and check the guarantees."""
        self.is_log_up = True
        for _ in range(40):
            while self.in_flight:
                self.deliver(0)
                self.execute_actions()
            self.finish_request(0)
            self.pass_time(2)
            for vm in (0, 1):
                self.read_log(vm)
        for vm in self.vms:
            for send_id in [s for s in vm.live_sends if isinstance(s, str)]:
                self._end_send(vm, SendFailed(send_id, True))
        self.execute_actions()
        self.check()

    def check(self):
        """Check the guarantees of section 13 of the design over the whole run."""
        for target in self.targets:
            assert not target.overloads, f"{target.name} got too many requests: {target.overloads}"
        runs_by_key = {}
        for request_id, sends in self.starts.items():
            event = self.requests[request_id]
            if not event.idempotent:
                runs_by_key.setdefault(event.key, []).extend(sends)
        for key, sends in runs_by_key.items():
            assert len(sends) <= 1, f"key {key} ran more than once: {sends}"
        for (incarnation, request_id), outcomes in self.answers.items():
            assert (
                len(outcomes) == 1
            ), f"{request_id} at {incarnation} needs one answer, got: {outcomes}"
            self._check_outcome(request_id, outcomes[0])
        for request_id, vm in self.origins.items():
            if vm.alive and request_id not in self.disconnected:
                assert (vm.incarnation, request_id) in self.answers, f"no answer to {request_id}"
        for vm in self.vms:
            assert vm.router.unfinished_count == 0, "a request was never answered"
            budget = vm.router.counters.first_sends_count * self.policy.retry_budget_ratio
            assert sum(vm.router.counters.retries.values()) <= budget + 1e-6

    def _check_outcome(self, request_id, outcome):
        event = self.requests[original_request_id(request_id)]
        if isinstance(outcome, NotRun):
            sends = self.starts.get(original_request_id(request_id), [])
            assert not any(send_id.startswith(f"{request_id}.") for send_id in sends)
        if isinstance(outcome, Completed):
            answered_request_id = outcome.body.decode().removeprefix("answer to ")
            is_own_answer = answered_request_id == original_request_id(request_id) or (
                event.key and self.requests[answered_request_id].key == event.key
            )
            assert is_own_answer, f"{request_id} got the answer of {answered_request_id}"
