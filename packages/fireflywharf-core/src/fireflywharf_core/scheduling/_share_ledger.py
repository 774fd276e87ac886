"""Accounts of the resource usage of customers and teams."""

import math

from ..accounts import Account
from ..contracts import Contract
from ..resources import ResourceVector
from ._model import Attempt
from ._policy import Charging

# Customers whose weighted usage is in the same step are ordered by priority.
USAGE_STEPS = 50


class ShareLedger:
    """Tracks the dominant-resource usage of customers, with exponential decay of past usage.

    Args:
        window_s: time constant of the decay in seconds.
        charging: when usage is charged.
    """

    def __init__(self, window_s: float, charging: Charging) -> None:
        self.window_s = window_s
        self.charging = charging
        self.total = ResourceVector()
        self.accounts_: dict[str, Account] = {}

    def set_contract(self, contract: Contract, now_s: float) -> None:
        """Apply a contract to the account of its customer; held resources are kept."""
        account = self.accounts_.get(contract.customer)
        if account is None:
            account = Account(contract.customer, contract.share_weight, contract.quota)
            account.updated_s = now_s
            self.accounts_[contract.customer] = account
        account.weight, account.quota = contract.share_weight, contract.quota
        account.priority, account.contract = contract.priority, contract
        names = {row.team for row in contract.teams}
        for row in contract.teams:
            team = account.teams.get(row.team)
            if team is None:
                team = account.teams[row.team] = Account(row.team, row.weight, row.quota)
                team.updated_s = now_s
            team.weight, team.quota = row.weight, row.quota
        for removed in [name for name in account.teams if name not in names]:
            if account.teams[removed].held == ResourceVector():
                del account.teams[removed]

    def set_total(self, total: ResourceVector, now_s: float) -> None:
        """Set the total capacity and recompute all shares."""
        for account in self.accounts_.values():
            for each in (account, *account.teams.values()):
                self._advance(each, now_s)
                each.held_share = each.held.dominant_share(total)
        self.total = total

    def _advance(self, account: Account, now_s: float) -> None:
        elapsed_s = now_s - account.updated_s
        if elapsed_s > 0:
            decay = math.exp(-elapsed_s / self.window_s)
            account.decayed_share_seconds *= decay
            if self.charging is Charging.METERED:
                account.decayed_share_seconds += account.held_share * self.window_s * (1 - decay)
            account.updated_s = now_s

    def _accounts_of(self, attempt: Attempt) -> list[Account]:
        spec = attempt.job.spec
        account = self.accounts_.get(spec.customer)
        if account is None:
            return []
        team = account.teams.get(spec.team)
        return [account] if team is None else [account, team]

    def change_held(self, attempt: Attempt, change: ResourceVector, now_s: float) -> None:
        """Add a change to the resources held by the customer and team of an attempt."""
        for account in self._accounts_of(attempt):
            self._advance(account, now_s)
            account.held += change
            account.held_share = account.held.dominant_share(self.total)

    def charge_estimate(self, attempt: Attempt, now_s: float) -> None:
        """Charge the estimated usage of a starting attempt under `ESTIMATE_FIRST`."""
        if self.charging is Charging.ESTIMATE_FIRST:
            attempt.prepaid_share_seconds = (
                attempt.charged.dominant_share(self.total) * attempt.estimate_s
            )
            for account in self._accounts_of(attempt):
                account.decayed_share_seconds += attempt.prepaid_share_seconds

    def replace_estimate(self, attempt: Attempt, elapsed_s: float | None, now_s: float) -> None:
        """Replace the estimated by the actual usage under `ESTIMATE_FIRST`, if it is known."""
        if self.charging is not Charging.ESTIMATE_FIRST or elapsed_s is None:
            return
        decay = math.exp(-max(0.0, now_s - attempt.started_s) / self.window_s)
        used = attempt.charged.dominant_share(self.total) * elapsed_s
        for account in self._accounts_of(attempt):
            account.decayed_share_seconds += (used - attempt.prepaid_share_seconds) * decay

    def weighted_usage(self, account: Account, now_s: float) -> float:
        """Return the usage divided by the weight; the customer with the least is served next."""
        self._advance(account, now_s)
        return (account.decayed_share_seconds / self.window_s + account.held_share) / account.weight

    def scheduling_key(
        self, account: Account, now_s: float, total_weight: float
    ) -> tuple[int, int]:
        """Return the sort key of a customer: weighted usage in steps, then descending priority."""
        return (
            int(self.weighted_usage(account, now_s) * total_weight * USAGE_STEPS),
            -account.priority,
        )
