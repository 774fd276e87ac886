"""Parsing of contract and job files."""

import json
import math
import pathlib
import tomllib
from collections.abc import Iterator
from typing import Any

from fireflywharf_core.results import Problem, ResultCode

from ._outcomes import Failure, build_usage_failure

FILE_MAX_BYTES = 1024 * 1024


def build_unreadable_file_failure(argument: str, path: str, error: OSError | ValueError) -> Failure:
    """Build the failure for a file that cannot be opened or read."""
    reason = getattr(error, "strerror", None) or str(error)
    return build_usage_failure(argument, path, f"a readable file ({reason})")


def read_text(path: str) -> str | Failure:
    """Read a UTF-8 text file of at most 1 MiB, the daemon's default limit of a request body.

    Args:
        path: path of the file.

    Returns:
        The text, or the failure to report.
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(FILE_MAX_BYTES + 1)
    except (OSError, ValueError) as error:
        return build_unreadable_file_failure("FILE", path, error)
    if len(data) > FILE_MAX_BYTES:
        return build_usage_failure("FILE", path, f"a file of at most {FILE_MAX_BYTES} bytes")
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        return build_usage_failure("FILE", path, f"UTF-8 text (invalid byte at {error.start})")


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    names = [name for name, _ in pairs]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"field {name!r} is given more than once")
    return dict(pairs)


def decode_json(text: str) -> Any:
    """Decode JSON; a duplicate field is an error, as in TOML and in the daemon.

    Raises:
        ValueError: for invalid JSON, a duplicate field or a document that is nested too deeply.
    """
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicate_fields)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


def read_object(path: str, code: ResultCode) -> dict[str, Any] | Failure:
    """Read a TOML file, or a JSON file if its name ends in `.json`.

    Args:
        path: path of the file.
        code: result code for a file that cannot be parsed.

    Returns:
        The parsed object, or the failure to report.
    """
    text = read_text(path)
    if isinstance(text, Failure):
        return text
    is_json = path.endswith(".json")
    try:
        data = decode_json(text) if is_json else tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        accepted = f"valid {'JSON' if is_json else 'TOML'} ({error})"
        return Failure(code, problems=(Problem(code, "FILE", repr(path), accepted),))
    if not isinstance(data, dict):
        accepted = "an object with named fields"
        return Failure(code, problems=(Problem(code, "FILE", repr(path), accepted),))
    return data


def find_non_finite_numbers(data: Any, code: ResultCode, path: str = "") -> Iterator[Problem]:
    """Yield a problem for each number that JSON cannot represent, such as `inf` in TOML."""
    if isinstance(data, float) and not math.isfinite(data):
        yield Problem(code, path, repr(data), "a finite number")
    elif isinstance(data, dict):
        for name, value in data.items():
            yield from find_non_finite_numbers(value, code, f"{path}.{name}" if path else str(name))
    elif isinstance(data, list):
        for index, value in enumerate(data):
            yield from find_non_finite_numbers(value, code, f"{path}[{index}]")
