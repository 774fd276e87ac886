"""Application object of the entry VM daemon and the components that it runs."""

from ._application import Application

__all__ = ["Application"]
