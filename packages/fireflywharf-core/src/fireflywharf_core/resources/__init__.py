"""Resource vectors: processors, memory and accelerators."""

from ._vector import ResourceVector

__all__ = ["ResourceVector"]
