"""Completion of sends and requests: slots, outlier statistics, retries and answers."""

from ..results import Completed, NotRun, Outcome, OutcomeUnknown, ResultCode
from ._actions import Answer, PollTarget, RecordKeyOutcome
from ._counters import RetryReason, SuppressedRetry
from ._events import ForwardAnswered, SendFailed, SendRefusalReason, SendRefused, SendSucceeded
from ._outliers import OutlierDetector
from ._requests import KeyKind, Request, RequestPhase, Send, SendRoute
from ._state import PollTimer, RouterState

_ERROR_STATUS = 400
_SERVER_ERROR_STATUS = 500


class CompletionHandler:
    """Handles the ends of sends and finishes requests.

    Args:
        state: state of the router.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.outliers = OutlierDetector(state)

    def handle_success(self, event: SendSucceeded, now_s: float) -> None:
        """Handle a complete answer of a target; a mismatched one counts as a failure."""
        state = self.state
        send = state.sends.pop(event.send_id, None)
        if send is None:
            return
        is_own = event.request_id == event.send_id
        self._end_send(send, is_own, now_s)
        if not is_own or not event.digest_ok:
            state.counters.mismatched_answers_count += 1
            self.outliers.record_failure(send, now_s)
            self._retry_or_finish(send.request, RetryReason.BAD_ANSWER, True)
            return
        request = send.request
        if event.status >= _SERVER_ERROR_STATUS:
            self.outliers.record_failure(send, now_s)
        else:
            self.outliers.record_success(send, event.elapsed_s, now_s)
            state.service_times.observe(request.service_time_key, event.elapsed_s)
            state.queue(request.service).correct_usage(request, event.elapsed_s)
        is_error = event.status >= _ERROR_STATUS
        code = ResultCode.TARGET_ERROR if is_error else ResultCode.OK
        self.finish_request(request, Completed(event.body, event.status, code))

    def handle_refusal(self, event: SendRefused, now_s: float) -> None:
        """Handle the refusal of a send whose request did not run."""
        state = self.state
        send = state.sends.pop(event.send_id, None)
        if send is None:
            return
        self._end_send(send, True, now_s)
        if send.route is SendRoute.KEY_HOLDER:
            self._fail_key_holder(send)
            return
        reason = RetryReason.REFUSED
        if send.route is SendRoute.TARGET:
            target = state.targets.get(send.destination)
            if event.reason is not SendRefusalReason.STALE_EPOCH:
                self.outliers.record_failure(send, now_s)
            else:
                reason = RetryReason.STALE_EPOCH
                if target is not None and target.epoch == send.epoch:
                    state.targets.drop_lease(send.destination)
        self._retry_or_finish(send.request, reason, False)

    def handle_failure(self, event: SendFailed, now_s: float) -> None:
        """Handle the end of a send without a valid answer."""
        state = self.state
        send = state.sends.pop(event.send_id, None)
        if send is None:
            return
        self._end_send(send, event.complete or not event.any_bytes_sent, now_s)
        if send.route is SendRoute.KEY_HOLDER:
            self._fail_key_holder(send)
            return
        if send.route is SendRoute.TARGET:
            self.outliers.record_failure(send, now_s)
        reason = (
            RetryReason.FAILED if send.route is SendRoute.TARGET else RetryReason.FORWARD_FAILED
        )
        self._retry_or_finish(send.request, reason, event.any_bytes_sent)

    def handle_forward_answer(self, event: ForwardAnswered, now_s: float) -> None:
        """Handle the answer of a peer to a forward."""
        send = self.state.sends.pop(event.send_id, None)
        if send is None:
            return
        self._end_send(send, True, now_s)
        request, outcome = send.request, event.outcome
        if isinstance(outcome, Completed) or send.route is SendRoute.KEY_HOLDER:
            self.finish_request(request, outcome)
        elif isinstance(outcome, NotRun):
            self._retry_or_finish(request, RetryReason.FORWARD_NOT_RUN, False, outcome)
        else:
            self._retry_or_finish(request, RetryReason.FORWARD_FAILED, True, outcome)

    def expire_request(self, request: Request) -> None:
        """Finish a request whose deadline has passed."""
        if request.answered:
            return
        if (
            request.may_have_run
            or request.phase is RequestPhase.RUNNING
            and request.live_sends_count
        ):
            detail = "the deadline passed while the request was running"
            self.finish_request(request, OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail))
        elif request.phase is RequestPhase.CLAIMING:
            detail = "the deadline passed before the platform log confirmed the claim of the key"
            self.finish_request(request, NotRun(ResultCode.STORE_UNAVAILABLE, detail))
        elif not self.state.usable_slots_count(request.service):
            detail = "no target of the service was usable before the deadline"
            self.finish_request(request, NotRun(ResultCode.NO_TARGET, detail))
        else:
            detail = "the deadline passed in the queue"
            self.finish_request(request, NotRun(ResultCode.DEADLINE_PASSED, detail))

    def abandon_request(self, request: Request) -> None:
        """Stop waiting on behalf of a caller that is gone; sends in flight continue."""
        if request.answered:
            return
        if not request.live_sends_count:
            detail = "the caller closed its connection"
            self.finish_request(
                request, NotRun(ResultCode.DEADLINE_PASSED, detail), send_answer=False
            )
        else:
            request.answered = True

    def finish_request(self, request: Request, outcome: Outcome, send_answer: bool = True) -> None:
        """Finish a request.

        The first call answers the caller. A later call can only improve the outcome that repeats of
        the key get.

        Args:
            request: the request.
            outcome: its outcome.
            send_answer: whether the caller still waits for an answer.
        """
        state = self.state
        if not request.answered:
            request.answered = True
            if request.phase is RequestPhase.QUEUED:
                request.phase = RequestPhase.DONE
                state.queue(request.service).remove_waiting(request)
            state.remove_claiming_request(request)
            request.phase = RequestPhase.DONE
            if send_answer:
                state.counters.outcomes[outcome.code] += 1
                state.actions.append(Answer(request.request_id, outcome))
        elif isinstance(outcome, Completed):
            state.counters.late_answers_count += 1
        if request.live_sends_count == 0 or isinstance(outcome, Completed):
            self._record_key_outcome(request, outcome)
        if request.live_sends_count == 0:
            state.requests.pop(request.request_id, None)

    def poll_target(self, name: str, now_s: float) -> None:
        """Poll the status of a target and schedule the next poll, while it has unknown slots."""
        target = self.state.targets.get(name)
        if target is None:
            return
        target.is_poll_scheduled = False
        if target.held and target.has_unknown_slots:
            self.state.actions.append(PollTarget(name))
            self.schedule_poll(name, now_s)

    def schedule_poll(self, name: str, now_s: float) -> None:
        """Schedule a status poll of a target with unknown slots, unless one is scheduled."""
        target = self.state.targets.get(name)
        if target is not None and target.has_unknown_slots and not target.is_poll_scheduled:
            target.is_poll_scheduled = True
            self.state.schedule_timer(now_s + self.state.policy.poll_interval_s, PollTimer(name))

    def _end_send(self, send: Send, free: bool, now_s: float) -> None:
        send.request.live_sends_count -= 1
        if send.route is SendRoute.PEER:
            self.state.peers.count_forward_end(send.destination, send.request.service)
        if send.route is not SendRoute.TARGET:
            return
        target = self.state.targets.get(send.destination)
        if target is not None:
            if send.is_long_kind:
                self.state.targets.services[target.vm.service].long_sends_count -= 1
            self.state.targets.end_send(target, send.send_id, free, now_s)
            if not free:
                self.schedule_poll(send.destination, now_s)

    def _fail_key_holder(self, send: Send) -> None:
        detail = f"entry VM {send.destination}, which executes this key, is gone or unreachable"
        self.finish_request(send.request, OutcomeUnknown(ResultCode.KEY_HOLDER_GONE, detail))

    def _retry_or_finish(
        self, request: Request, reason: RetryReason, ran: bool, peer_outcome: Outcome | None = None
    ) -> None:
        """Queue a request again after a failed send, or finish it if it may not be retried.

        Args:
            request: request of the send.
            reason: why the send failed.
            ran: whether the send may have taken effect.
            peer_outcome: outcome that a peer answered, if any.
        """
        state = self.state
        request.may_have_run = request.may_have_run or ran
        if request.live_sends_count:
            return
        if request.answered:
            detail = "the target did not answer"
            self.finish_request(request, OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail))
            return
        suppressed = self._find_retry_obstacle(request)
        if suppressed is None:
            state.counters.retries[reason] += 1
            state.queue(request.service).push(request, first=True)
            return
        state.counters.suppressed_retries[suppressed] += 1
        self.finish_request(request, _final_outcome(request, suppressed, reason, peer_outcome))

    def _find_retry_obstacle(self, request: Request) -> SuppressedRetry | None:
        state = self.state
        if request.forwarded:
            return SuppressedRetry.FORWARDED
        if request.may_have_run and not request.idempotent:
            return SuppressedRetry.NOT_IDEMPOTENT
        if request.sends_count >= state.policy.sends_max_count:
            return SuppressedRetry.SENDS_SPENT
        if not state.retry_budget(request.customer, request.service).try_withdraw():
            return SuppressedRetry.BUDGET_SPENT
        return None

    def _record_key_outcome(self, request: Request, outcome: Outcome) -> None:
        """Record the outcome for repeats of the key, which may run if this request did not."""
        state = self.state
        if request.key_kind is KeyKind.ISSUED:
            if isinstance(outcome, NotRun):
                state.executed_keys.cancel_execution(request.key_number)
            else:
                state.executed_keys.finish_execution(request.key_number, outcome)
        elif request.key_kind is KeyKind.CALLER:
            claim = state.claims.get(request.customer, request.key)
            if claim is None or claim.incarnation != state.incarnation:
                return
            if isinstance(outcome, NotRun):
                claim.started = False
                return
            state.claims.answers.store(claim, outcome)
            status, body = 0, None
            if isinstance(outcome, Completed):
                status = outcome.status
                is_short_enough = len(outcome.body) <= state.policy.kept_answer_max_bytes
                body = outcome.body if is_short_enough else None
            state.actions.append(
                RecordKeyOutcome(request.customer, request.key, int(outcome.code), status, body)
            )


def _final_outcome(
    request: Request, suppressed: SuppressedRetry, reason: RetryReason, peer_outcome: Outcome | None
) -> Outcome:
    if request.may_have_run:
        if isinstance(peer_outcome, OutcomeUnknown):
            return peer_outcome
        detail = f"the last send ended with {reason.value}; not retried: {suppressed.value}"
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)
    if suppressed is SuppressedRetry.BUDGET_SPENT:
        return NotRun(
            ResultCode.RETRY_BUDGET_SPENT, f"the last send ended with {reason.value}", 1.0
        )
    if isinstance(peer_outcome, NotRun):
        return peer_outcome
    return NotRun(ResultCode.TARGET_REFUSED, f"the last send ended with {reason.value}", 1.0)
