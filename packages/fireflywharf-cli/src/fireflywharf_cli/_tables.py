"""Text formatting of values, tables and contracts."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import tomli_w
from tabulate import tabulate

IDENTIFYING_COLUMNS = ("name", "vm_name", "customer", "domain", "service")


def format_value(value: Any) -> str:
    """Format a value; control characters, which a terminal would execute, become `?`."""
    if isinstance(value, bool):
        text = "yes" if value else "no"
    elif value is None or value == "" or value == [] or value == {}:
        text = "-"
    elif isinstance(value, float):
        text = f"{value:.3f}".rstrip("0").rstrip(".")
    elif isinstance(value, Mapping):
        text = ", ".join(f"{name}={format_value(item)}" for name, item in value.items())
    elif isinstance(value, list):
        text = ", ".join(format_value(item) for item in value)
    else:
        text = str(value)
    return "".join(char if char.isprintable() else "?" for char in text)


def format_table(rows: Sequence[Sequence[Any]], headers: Sequence[str]) -> str:
    """Format rows as an aligned table, or return `(none)` if there are no rows."""
    if not rows:
        return "(none)"
    cells = [[format_value(value) for value in row] for row in rows]
    return tabulate(cells, headers=headers, tablefmt="simple", disable_numparse=True)


def format_objects(objects: Sequence[Mapping[str, Any]], columns: Iterable[str] = ()) -> str:
    """Format objects as a table.

    Args:
        objects: objects to show, one in each row.
        columns: fields to show, in order; if empty, all fields, starting with
            `IDENTIFYING_COLUMNS`.

    Returns:
        The table.
    """
    names = list(columns)
    if not names:
        found = dict.fromkeys(name for item in objects for name in item)
        names = [name for name in IDENTIFYING_COLUMNS if name in found]
        names += [name for name in found if name not in names]
    return format_table([[item.get(name) for name in names] for item in objects], names)


def format_fields(fields: Mapping[str, Any]) -> str:
    """Format named values as two columns."""
    width = max(map(len, fields), default=0)
    return "\n".join(f"{name:<{width}}  {format_value(value)}" for name, value in fields.items())


def format_section(title: str, value: Any) -> str:
    """Format a section of a status document: objects as a table, other values as text."""
    if isinstance(value, Mapping) and value and all(isinstance(v, Mapping) for v in value.values()):
        value = [{"name": name} | dict(item) for name, item in value.items()]
    if isinstance(value, list) and all(isinstance(item, Mapping) for item in value):
        body = format_objects(value)
    elif isinstance(value, Mapping):
        body = format_fields(value) or "(none)"
    else:
        body = format_value(value)
    return f"\n{title}\n{body}"


def format_contract(contract: Mapping[str, Any], version: int) -> str:
    """Format a contract as TOML that `contract apply` accepts."""
    body = tomli_w.dumps({name: value for name, value in contract.items() if value is not None})
    return f"# version {version}\n{body.rstrip()}"
