"""State shared by the components of the router."""

import random
from collections import Counter
from heapq import heappush

import attrs

from ..budgets import RetryBudget, TokenBucket
from ..contracts import UNLIMITED, Contract
from ..results import NotRun, Outcome, ResultCode
from ._actions import Action, Answer
from ._claims import KeyClaimTable
from ._counters import RoutingCounters
from ._executed_keys import AnswerCache, ExecutedKeys
from ._keys import KeyIssuer
from ._peers import PeerSlotTable
from ._policy import RoutingPolicy
from ._queue import ServiceQueue
from ._requests import Request, RequestPhase, Send
from ._service_times import ServiceTimeEstimator
from ._targets import TargetTable

_RATE_BURST_S = 1.0


@attrs.frozen(slots=True)
class DeadlineTimer:
    """Fires at the deadline of a request."""

    request_id: str


@attrs.frozen(slots=True)
class HedgeTimer:
    """Fires when a send has taken as long as the 95th percentile of its kind."""

    send_id: str


@attrs.frozen(slots=True)
class PollTimer:
    """Fires when a target with slots of unknown state is due for a status poll."""

    target: str


@attrs.frozen(slots=True)
class QueueTimer:
    """Fires when the queue of a service is due for another dispatch."""

    service: str


Timer = DeadlineTimer | HedgeTimer | PollTimer | QueueTimer


class RouterState:
    """State of one router; see `RequestRouter` for the arguments."""

    def __init__(
        self, incarnation: str, domain: str, region: str, rng: random.Random, policy: RoutingPolicy
    ) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.policy = policy
        self.draining = False
        self.service_times = ServiceTimeEstimator(policy.kinds_max_count)
        self.targets = TargetTable(policy.unlisted_send_grace_s)
        self.peers = PeerSlotTable(domain, region)
        self.counters = RoutingCounters()
        answers = AnswerCache(policy.kept_answer_max_bytes, policy.kept_answers_max_bytes)
        self.issuer = KeyIssuer(incarnation, rng, policy.key_lifetime_s)
        self.executed_keys = ExecutedKeys(policy.executed_keys_max_count, answers)
        self.claims = KeyClaimTable(policy.key_lifetime_s, policy.executed_keys_max_count, answers)
        self.contracts: dict[str, Contract] = {}
        self.queues: dict[str, ServiceQueue] = {}
        self.requests: dict[str, Request] = {}
        self.sends: dict[str, Send] = {}
        self.claiming_requests: dict[tuple[str, str], Request] = {}
        self.actions: list[Action] = []
        self.timers: list[tuple[float, int, Timer]] = []
        self._timers_count = 0
        self._claiming_counts: Counter[str] = Counter()
        self._rate_buckets: dict[str, TokenBucket] = {}
        self._cross_region_buckets: dict[str, TokenBucket] = {}
        self._retry_budgets: dict[tuple[str, str], RetryBudget] = {}

    def schedule_timer(self, at_s: float, timer: Timer) -> None:
        """Schedule a timer for the time `at_s`."""
        self._timers_count += 1
        heappush(self.timers, (at_s, self._timers_count, timer))

    def refuse(self, request_id: str, code: ResultCode, detail: str, after_s: float = 0.0) -> None:
        """Answer a request that is not admitted with `NotRun`."""
        self.answer_stateless(request_id, NotRun(code, detail, after_s))

    def answer_stateless(self, request_id: str, outcome: Outcome) -> None:
        """Answer a request for which no state is kept."""
        self.counters.outcomes[outcome.code] += 1
        self.actions.append(Answer(request_id, outcome))

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service, created at the first call."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue(
                self.service_times, self.policy.fair_queue, self.policy.long_kind_factor
            )
            for contract in self.contracts.values():
                queue.set_share(contract.customer, contract.share_weight, contract.priority)
        return queue

    def retry_budget(self, customer: str, service: str) -> RetryBudget:
        """Return the retry budget of a customer for a service, created at the first call."""
        budget = self._retry_budgets.get((customer, service))
        if budget is None:
            policy = self.policy
            budget = RetryBudget(policy.retry_budget_ratio, policy.retry_budget_max_count)
            self._retry_budgets[customer, service] = budget
        return budget

    def rate_bucket(self, customer: str) -> TokenBucket | None:
        """Return the token bucket of admitted requests; None if unlimited."""
        return self._rate_buckets.get(customer)

    def cross_region_bucket(self, customer: str) -> TokenBucket | None:
        """Return the token bucket of cross-region bytes; None if unlimited."""
        return self._cross_region_buckets.get(customer)

    def apply_contract(self, customer: str, contract: Contract | None) -> None:
        """Apply a changed contract, or remove it if None.

        Token buckets keep their level unless their rate changes.
        """
        if contract is None:
            self.contracts.pop(customer, None)
            self._rate_buckets.pop(customer, None)
            self._cross_region_buckets.pop(customer, None)
            for name in [name for name in self._retry_budgets if name[0] == customer]:
                del self._retry_budgets[name]
            for queue in self.queues.values():
                queue.forget_customer(customer)
            return
        self.contracts[customer] = contract
        _set_bucket_rate(self._rate_buckets, customer, contract.requests_per_second)
        _set_bucket_rate(
            self._cross_region_buckets, customer, contract.cross_region_bytes_per_second
        )
        for queue in self.queues.values():
            queue.set_share(customer, contract.share_weight, contract.priority)

    def waiting_count(self, customer: str) -> int:
        """Return how many requests of a customer are queued or wait for a claim."""
        queued_count = sum(queue.count_waiting(customer) for queue in self.queues.values())
        return queued_count + self._claiming_counts[customer]

    def add_claiming_request(self, request: Request) -> None:
        """Add a request that waits until the claim of its key is read back."""
        request.phase = RequestPhase.CLAIMING
        self.claiming_requests[request.customer, request.key] = request
        self._claiming_counts[request.customer] += 1

    def remove_claiming_request(self, request: Request) -> None:
        """Remove a request that waits for the claim of its key; others are left as they are."""
        if self.claiming_requests.get((request.customer, request.key)) is request:
            del self.claiming_requests[request.customer, request.key]
            self._claiming_counts[request.customer] -= 1

    def usable_slots_count(self, service: str) -> int:
        """Return the slots that serve this VM's queue.

        These are the slots that it holds, or its equal share of those in the domain if that is
        more.
        """
        own_targets = self.targets.service(service)
        held_count = 0 if own_targets is None else own_targets.held_slots_count
        peers_count, peers = self.peers.own_domain_slots(service)
        return max(held_count, (held_count + peers_count) // (peers + 1))


def _set_bucket_rate(
    buckets: dict[str, TokenBucket], customer: str, rate_per_s: float | int | str
) -> None:
    if rate_per_s == UNLIMITED:
        buckets.pop(customer, None)
        return
    bucket = buckets.get(customer)
    if bucket is None or bucket.rate_per_s != rate_per_s:
        burst_count = max(1.0, rate_per_s * _RATE_BURST_S) if rate_per_s > 0 else 0.0
        buckets[customer] = TokenBucket(rate_per_s, burst_count)
