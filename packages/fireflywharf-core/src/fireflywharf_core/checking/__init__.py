"""Checking of parsed input, with every error collected before it is reported."""

from ._field_checker import FieldChecker
from ._names import NAME_DESCRIPTION, NAME_PATTERN, is_valid_name

__all__ = ["NAME_PATTERN", "NAME_DESCRIPTION", "FieldChecker", "is_valid_name"]
