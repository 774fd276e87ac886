"""Sockets with a deadline for a whole exchange instead of a timeout for each call."""

from ._deadline_socket import DeadlineSocket

__all__ = ["DeadlineSocket"]
