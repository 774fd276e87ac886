"""The application object and its components."""

from ._application import Application

__all__ = ["Application"]
