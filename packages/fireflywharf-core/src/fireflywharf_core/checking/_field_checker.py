"""Validation and conversion of parsed input, field by field, with all errors collected."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs
import msgspec

from ..results import Problem, ResultCode

MISSING = "(missing)"


class FieldChecker:
    """Validates and converts the fields of one object and collects the problems.

    Args:
        data: parsed JSON or TOML object.
        code: result code of the problems.
        path: path of the object, a prefix of the field names in problems.
    """

    def __init__(self, data: Any, code: ResultCode, path: str = "") -> None:
        self.problems: list[Problem] = []
        self._code = code
        self._path = path
        self._known_names: set[str] = set()
        if isinstance(data, Mapping):
            self._data: Mapping[str, Any] = data
        else:
            self._data = {}
            self.add("", data, "an object with named fields")

    def add(self, name: str, value: Any, accepted: str) -> None:
        """Add a problem of the field `name`; an empty name stands for the whole object."""
        field = ".".join(part for part in (self._path, name) if part) or "(top level)"
        text = MISSING if value is MISSING else repr(value)
        shown = text if len(text) <= 80 else text[:77] + "..."
        self.problems.append(Problem(self._code, field, shown, accepted))

    def read_field(
        self,
        name: str,
        kind: Any,
        accepted: str,
        default: Any = attrs.NOTHING,
        check: Callable[[Any], bool] | None = None,
    ) -> Any:
        """Return the converted value of the field `name`, or its default.

        Args:
            name: field name.
            kind: type to which msgspec converts the value.
            accepted: description of the valid values for the error message.
            default: value if the field is missing; without a default the field is required.
            check: predicate that a valid converted value satisfies.

        Returns:
            The value, or None if a problem was added.
        """
        self._known_names.add(name)
        if name not in self._data:
            if default is attrs.NOTHING:
                self.add(name, MISSING, accepted)
                return None
            return default
        raw = self._data[name]
        if isinstance(raw, bool) and kind in (int, float):
            self.add(name, raw, accepted)
            return None
        try:
            value = msgspec.convert(raw, kind)
        except msgspec.ValidationError:
            self.add(name, raw, accepted)
            return None
        if check is not None and not check(value):
            self.add(name, raw, accepted)
            return None
        return value

    def read_section(self, name: str) -> Any:
        """Return the unconverted value of the field `name` and mark the field as known."""
        self._known_names.add(name)
        return self._data.get(name)

    def finish(self) -> list[Problem]:
        """Add a problem for each unknown field and return all problems."""
        for name in sorted(set(map(str, self._data)) - self._known_names):
            known = ", ".join(sorted(self._known_names))
            self.add(name, self._data.get(name), f"no such field; known fields are {known}")
        return self.problems
