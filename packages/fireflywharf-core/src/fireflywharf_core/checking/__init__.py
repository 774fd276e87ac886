"""Validation of parsed input; all errors are collected before they are reported."""

from ._field_checker import FieldChecker
from ._names import NAME_DESCRIPTION, NAME_PATTERN, is_valid_name

__all__ = ["NAME_PATTERN", "NAME_DESCRIPTION", "FieldChecker", "is_valid_name"]
