"""Resource accounts of customers and teams, used by both schedulers."""

from ._account import Account

__all__ = ["Account"]
