"""Budgets of rates and retries."""

from ._budgets import RetryBudget, TokenBucket

__all__ = ["RetryBudget", "TokenBucket"]
