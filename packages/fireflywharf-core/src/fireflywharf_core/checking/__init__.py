"""Checking of parsed input, with every error collected before it is reported."""

from ._field_checker import FieldChecker
from ._names import NAME_PATTERN, NAME_TEXT, is_name

__all__ = ["NAME_PATTERN", "NAME_TEXT", "FieldChecker", "is_name"]
