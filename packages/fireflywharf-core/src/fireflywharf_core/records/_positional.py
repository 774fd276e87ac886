"""Conversion of attrs objects to arrays without field names, for small frequent messages."""

import typing
from typing import Any

import attrs


class PositionalForm:
    """Converts objects of one attrs class to nested lists and back to mappings.

    The order of the fields is part of the format: new fields must come last and have defaults. A
    reader ignores values beyond the fields that it knows.

    Args:
        cls: attrs class; its fields may be attrs objects or lists of them.
    """

    def __init__(self, cls: type) -> None:
        self.cls = cls
        hints = typing.get_type_hints(cls)
        self._names = [field.name for field in attrs.fields(cls)]
        self._nested = {name: _form_of(hints[name]) for name in self._names}

    def to_list(self, value: Any) -> list[Any]:
        """Return the field values in the order of the fields."""
        values = []
        for name in self._names:
            item, nested = getattr(value, name), self._nested[name]
            if nested is not None:
                form, is_list = nested
                item = [form.to_list(each) for each in item] if is_list else form.to_list(item)
            values.append(item)
        return values

    def to_mapping(self, values: list[Any]) -> dict[str, Any]:
        """Return the values by field name; trailing fields without a value are left out.

        Raises:
            TypeError: a nested value is not a list.
        """
        if not isinstance(values, list):
            raise TypeError(f"{self.cls.__name__} must be a list, not {type(values).__name__}")
        mapping = dict(zip(self._names, values, strict=False))
        for name, item in mapping.items():
            nested = self._nested[name]
            if nested is None:
                continue
            form, is_list = nested
            if is_list and not isinstance(item, list):
                raise TypeError(f"{name} must be a list, not {type(item).__name__}")
            mapping[name] = (
                [form.to_mapping(each) for each in item] if is_list else form.to_mapping(item)
            )
        return mapping


def _form_of(hint: Any) -> tuple[PositionalForm, bool] | None:
    if isinstance(hint, type) and attrs.has(hint):
        return PositionalForm(hint), False
    if typing.get_origin(hint) is list and attrs.has(typing.get_args(hint)[0]):
        return PositionalForm(typing.get_args(hint)[0]), True
    return None
