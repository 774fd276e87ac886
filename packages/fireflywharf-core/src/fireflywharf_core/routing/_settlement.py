"""Ends of sends and of requests: answers, retries, slots and evidence about targets."""

from ..results import Completed, NotRun, Outcome, OutcomeUnknown, ResultCode
from ._actions import Answer, PollTarget, RecordKeyOutcome
from ._counters import RetryReason, SuppressedRetry
from ._events import ForwardAnswered, SendFailed, SendRefusalReason, SendRefused, SendSucceeded
from ._outliers import Outliers
from ._requests import KeyUse, Phase, Request, Route, Send
from ._state import PollTimer, RouterState

_ERROR_STATUS = 400
_SERVER_ERROR_STATUS = 500


class Settlement:
    """Takes the ends of sends.

    Args:
        state: state of the router.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.outliers = Outliers(state)

    def succeed(self, event: SendSucceeded, now_s: float) -> None:
        """Take a complete answer."""
        state = self.state
        send = state.sends.pop(event.send_id, None)
        if send is None:
            return
        own = event.request_id == event.send_id
        self._end_send(send, own, now_s)
        if not own or not event.digest_ok:
            state.counters.mismatched_answers_count += 1
            self.outliers.fail(send, now_s)
            self._fail(send.request, RetryReason.BAD_ANSWER, True)
            return
        request = send.request
        if event.status >= _SERVER_ERROR_STATUS:
            self.outliers.fail(send, now_s)
        else:
            self.outliers.succeed(send, event.elapsed_s, now_s)
            state.times.observe(request.time_key, event.elapsed_s)
            state.queue(request.service).correct(request, event.elapsed_s)
        error = event.status >= _ERROR_STATUS
        code = ResultCode.TARGET_ERROR if error else ResultCode.OK
        self.finish(request, Completed(event.body, event.status, code))

    def refuse(self, event: SendRefused, now_s: float) -> None:
        """Take the refusal of a send that provably did not run."""
        state = self.state
        send = state.sends.pop(event.send_id, None)
        if send is None:
            return
        self._end_send(send, True, now_s)
        if send.route is Route.KEY_HOLDER:
            self._lose_key_holder(send)
            return
        reason = RetryReason.REFUSED
        if send.route is Route.TARGET:
            target = state.targets.get(send.destination)
            if event.reason is not SendRefusalReason.STALE_EPOCH:
                self.outliers.fail(send, now_s)
            else:
                reason = RetryReason.STALE_EPOCH
                if target is not None and target.epoch == send.epoch:
                    state.targets.lose(send.destination)
        self._fail(send.request, reason, False)

    def fail(self, event: SendFailed, now_s: float) -> None:
        """Take the end of a send without a valid answer."""
        state = self.state
        send = state.sends.pop(event.send_id, None)
        if send is None:
            return
        self._end_send(send, event.complete or not event.any_bytes_sent, now_s)
        if send.route is Route.KEY_HOLDER:
            self._lose_key_holder(send)
            return
        if send.route is Route.TARGET:
            self.outliers.fail(send, now_s)
        reason = RetryReason.FAILED if send.route is Route.TARGET else RetryReason.FORWARD_FAILED
        self._fail(send.request, reason, event.any_bytes_sent)

    def take_forwarded(self, event: ForwardAnswered, now_s: float) -> None:
        """Take the answer of a peer."""
        send = self.state.sends.pop(event.send_id, None)
        if send is None:
            return
        self._end_send(send, True, now_s)
        request, outcome = send.request, event.outcome
        if isinstance(outcome, Completed) or send.route is Route.KEY_HOLDER:
            self.finish(request, outcome)
        elif isinstance(outcome, NotRun):
            self._fail(request, RetryReason.FORWARD_NOT_RUN, False, outcome)
        else:
            self._fail(request, RetryReason.FORWARD_FAILED, True, outcome)

    def pass_deadline(self, request: Request) -> None:
        """End a request whose deadline has passed."""
        if request.answered:
            return
        if request.maybe_ran or request.phase is Phase.RUNNING and request.live_count:
            detail = "the deadline passed while the request was running"
            self.finish(request, OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail))
        elif request.phase is Phase.CLAIMING:
            detail = "the deadline passed before the log confirmed the claim of the key"
            self.finish(request, NotRun(ResultCode.STORE_UNAVAILABLE, detail))
        elif not self.state.usable_slots_count(request.service):
            detail = "no target of the service was usable before the deadline"
            self.finish(request, NotRun(ResultCode.NO_TARGET, detail))
        else:
            detail = "the deadline passed in the queue"
            self.finish(request, NotRun(ResultCode.DEADLINE_PASSED, detail))

    def leave_caller(self, request: Request) -> None:
        """Forget the caller of a request; what was sent goes on."""
        if request.answered:
            return
        if not request.live_count:
            detail = "the caller closed its connection"
            self.finish(request, NotRun(ResultCode.DEADLINE_PASSED, detail), tell=False)
        else:
            request.answered = True

    def finish(self, request: Request, outcome: Outcome, tell: bool = True) -> None:
        """Answer a request, or take a later and better outcome of an answered one."""
        state = self.state
        if not request.answered:
            request.answered = True
            if request.phase is Phase.QUEUED:
                request.phase = Phase.DONE
                state.queue(request.service).drop(request)
            state.remove_claimer(request)
            request.phase = Phase.DONE
            if tell:
                state.counters.outcomes[outcome.code] += 1
                state.actions.append(Answer(request.request_id, outcome))
        elif isinstance(outcome, Completed):
            state.counters.late_answers_count += 1
        if request.live_count == 0 or isinstance(outcome, Completed):
            self._close_key(request, outcome)
        if request.live_count == 0:
            state.requests.pop(request.request_id, None)

    def poll(self, name: str, now_s: float) -> None:
        """Ask a target for its status while slots of unknown state remain."""
        target = self.state.targets.get(name)
        if target is None:
            return
        target.poll_planned = False
        if target.held and target.unsettled:
            self.state.actions.append(PollTarget(name))
            self.plan_poll(name, now_s)

    def plan_poll(self, name: str, now_s: float) -> None:
        """Plan a status poll of a target unless one is planned."""
        target = self.state.targets.get(name)
        if target is not None and target.unsettled and not target.poll_planned:
            target.poll_planned = True
            self.state.add_timer(now_s + self.state.policy.poll_interval_s, PollTimer(name))

    def _end_send(self, send: Send, free: bool, now_s: float) -> None:
        send.request.live_count -= 1
        if send.route is Route.PEER:
            self.state.peers.release(send.destination, send.request.service)
        if send.route is not Route.TARGET:
            return
        target = self.state.targets.get(send.destination)
        if target is not None:
            if send.long:
                self.state.targets.services[target.vm.service].long_count -= 1
            self.state.targets.end(target, send.send_id, free, now_s)
            if not free:
                self.plan_poll(send.destination, now_s)

    def _lose_key_holder(self, send: Send) -> None:
        detail = f"{send.destination} decides for this key and is gone or unreachable"
        self.finish(send.request, OutcomeUnknown(ResultCode.KEY_HOLDER_GONE, detail))

    def _fail(
        self, request: Request, reason: RetryReason, ran: bool, told: Outcome | None = None
    ) -> None:
        """Retry a request after a failed send, or end it."""
        state = self.state
        request.maybe_ran = request.maybe_ran or ran
        if request.live_count:
            return
        if request.answered:
            detail = "no answer of the target arrived"
            self.finish(request, OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail))
            return
        suppressed = self._check_retry(request)
        if suppressed is None:
            state.counters.retries[reason] += 1
            state.queue(request.service).push(request, first=True)
            return
        state.counters.suppressed_retries[suppressed] += 1
        self.finish(request, _final_outcome(request, suppressed, reason, told))

    def _check_retry(self, request: Request) -> SuppressedRetry | None:
        state = self.state
        if request.forwarded:
            return SuppressedRetry.FORWARDED
        if request.maybe_ran and not request.idempotent:
            return SuppressedRetry.NOT_IDEMPOTENT
        if request.sends_count >= state.policy.sends_max_count:
            return SuppressedRetry.SENDS_SPENT
        if not state.budget(request.customer, request.service).spend():
            return SuppressedRetry.BUDGET_SPENT
        return None

    def _close_key(self, request: Request, outcome: Outcome) -> None:
        """Let repeats of the key hear the outcome, or run if this request did not."""
        state = self.state
        if request.key_use is KeyUse.ISSUED:
            if isinstance(outcome, NotRun):
                state.remembered.cancel(request.key_number)
            else:
                state.remembered.finish(request.key_number, outcome)
        elif request.key_use is KeyUse.CALLER:
            claim = state.claims.get(request.customer, request.key)
            if claim is None or claim.incarnation != state.incarnation:
                return
            if isinstance(outcome, NotRun):
                claim.started = False
                return
            state.claims.answers.keep(claim, outcome)
            status, body = 0, None
            if isinstance(outcome, Completed):
                status = outcome.status
                short = len(outcome.body) <= state.policy.remembered_body_max_bytes
                body = outcome.body if short else None
            state.actions.append(
                RecordKeyOutcome(request.customer, request.key, int(outcome.code), status, body)
            )


def _final_outcome(
    request: Request, suppressed: SuppressedRetry, reason: RetryReason, told: Outcome | None
) -> Outcome:
    if request.maybe_ran:
        if isinstance(told, OutcomeUnknown):
            return told
        detail = f"the last send ended as {reason.value}; retry: {suppressed.value}"
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)
    if suppressed is SuppressedRetry.BUDGET_SPENT:
        return NotRun(ResultCode.RETRY_BUDGET_SPENT, f"the last send ended as {reason.value}", 1.0)
    if isinstance(told, NotRun):
        return told
    return NotRun(ResultCode.TARGET_REFUSED, f"the last send ended as {reason.value}", 1.0)
