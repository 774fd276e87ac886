"""State that the parts of the router share."""

import random
from collections import Counter
from heapq import heappush

import attrs

from ..contracts import UNLIMITED, Contract
from ..results import NotRun, Outcome, ResultCode
from ._actions import Action, Answer
from ._buckets import RetryBudget, TokenBucket
from ._claims import KeyClaimTable
from ._counters import RoutingCounters
from ._keys import KeyIssuer
from ._peers import PeerTable
from ._policy import RoutingPolicy
from ._queue import ServiceQueue
from ._remembered import AnswerCache, RememberedKeys
from ._requests import Phase, Request, Send
from ._targets import TargetTable
from ._times import ServiceTimes

_RATE_BURST_S = 1.0


@attrs.frozen(slots=True)
class DeadlineTimer:
    """The deadline of a request."""

    request_id: str


@attrs.frozen(slots=True)
class HedgeTimer:
    """A send that has taken as long as the 95th percentile."""

    send_id: str


@attrs.frozen(slots=True)
class PollTimer:
    """A target with slots of unknown state."""

    target: str


@attrs.frozen(slots=True)
class WakeTimer:
    """A service whose queue is looked at again."""

    service: str


Timer = DeadlineTimer | HedgeTimer | PollTimer | WakeTimer


class RouterState:
    """Tables of one router; see `RequestRouter` for the arguments."""

    def __init__(
        self, incarnation: str, domain: str, region: str, rng: random.Random, policy: RoutingPolicy
    ) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.policy = policy
        self.draining = False
        self.times = ServiceTimes(policy.kinds_max_count)
        self.targets = TargetTable(policy.settle_s)
        self.peers = PeerTable(domain, region)
        self.counters = RoutingCounters()
        answers = AnswerCache(policy.remembered_body_max_bytes, policy.remembered_bodies_max_bytes)
        self.issued = KeyIssuer(incarnation, rng, policy.key_lifetime_s)
        self.remembered = RememberedKeys(policy.remembered_keys_max_count, answers)
        self.claims = KeyClaimTable(
            policy.key_lifetime_s, policy.remembered_keys_max_count, answers
        )
        self.contracts: dict[str, Contract] = {}
        self.queues: dict[str, ServiceQueue] = {}
        self.requests: dict[str, Request] = {}
        self.sends: dict[str, Send] = {}
        self.claimers: dict[tuple[str, str], Request] = {}
        self.actions: list[Action] = []
        self.timers: list[tuple[float, int, Timer]] = []
        self._timers_count = 0
        self._claiming: Counter[str] = Counter()
        self._rates: dict[str, TokenBucket] = {}
        self._bytes: dict[str, TokenBucket] = {}
        self._budgets: dict[tuple[str, str], RetryBudget] = {}

    def add_timer(self, at_s: float, timer: Timer) -> None:
        """Plan a timer."""
        self._timers_count += 1
        heappush(self.timers, (at_s, self._timers_count, timer))

    def refuse(self, request_id: str, code: ResultCode, detail: str, after_s: float = 0.0) -> None:
        """Answer a request that was not admitted."""
        self.answer_directly(request_id, NotRun(code, detail, after_s))

    def answer_directly(self, request_id: str, outcome: Outcome) -> None:
        """Answer a request that has no state."""
        self.counters.outcomes[outcome.code] += 1
        self.actions.append(Answer(request_id, outcome))

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue(
                self.times, self.policy.fair_queue, self.policy.long_kind_factor
            )
            for contract in self.contracts.values():
                queue.set_share(contract.customer, contract.share_weight, contract.priority)
        return queue

    def budget(self, customer: str, service: str) -> RetryBudget:
        """Return the retry budget of a customer at a service."""
        budget = self._budgets.get((customer, service))
        if budget is None:
            policy = self.policy
            budget = RetryBudget(policy.retry_budget_ratio, policy.retry_budget_max_count)
            self._budgets[customer, service] = budget
        return budget

    def rate(self, customer: str) -> TokenBucket | None:
        """Return the bucket of admitted requests; None if unlimited."""
        return self._rates.get(customer)

    def cross_region(self, customer: str) -> TokenBucket | None:
        """Return the bucket of cross-region bytes; None if unlimited."""
        return self._bytes.get(customer)

    def change_contract(self, customer: str, contract: Contract | None) -> None:
        """Take a contract into force; buckets keep their level unless their rate changes."""
        if contract is None:
            self.contracts.pop(customer, None)
            self._rates.pop(customer, None)
            self._bytes.pop(customer, None)
            for name in [name for name in self._budgets if name[0] == customer]:
                del self._budgets[name]
            for queue in self.queues.values():
                queue.forget(customer)
            return
        self.contracts[customer] = contract
        _set_rate(self._rates, customer, contract.requests_per_second)
        _set_rate(self._bytes, customer, contract.cross_region_bytes_per_second)
        for queue in self.queues.values():
            queue.set_share(customer, contract.share_weight, contract.priority)

    def waiting_count(self, customer: str) -> int:
        """Return the waiting requests of a customer over all services."""
        queued_count = sum(queue.count(customer) for queue in self.queues.values())
        return queued_count + self._claiming[customer]

    def add_claimer(self, request: Request) -> None:
        """Let a request wait for the claim of its key."""
        request.phase = Phase.CLAIMING
        self.claimers[request.customer, request.key] = request
        self._claiming[request.customer] += 1

    def remove_claimer(self, request: Request) -> None:
        """Stop waiting for the claim of the key of a request."""
        if self.claimers.get((request.customer, request.key)) is request:
            del self.claimers[request.customer, request.key]
            self._claiming[request.customer] -= 1

    def usable_slots_count(self, service: str) -> int:
        """Return the slots that serve this VM's queue: those it holds or its part of the domain."""
        own = self.targets.service(service)
        held_count = 0 if own is None else own.held_slots_count
        peers_count, peers = self.peers.own_domain_slots(service)
        return max(held_count, (held_count + peers_count) // (peers + 1))


def _set_rate(
    buckets: dict[str, TokenBucket], customer: str, rate_per_s: float | int | str
) -> None:
    if rate_per_s == UNLIMITED:
        buckets.pop(customer, None)
        return
    known = buckets.get(customer)
    if known is None or known.rate_per_s != rate_per_s:
        burst_count = max(1.0, rate_per_s * _RATE_BURST_S) if rate_per_s > 0 else 0.0
        buckets[customer] = TokenBucket(rate_per_s, burst_count)
