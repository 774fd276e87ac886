"""Reading of request bodies within a size limit, and decoding of JSON."""

import json
import re
from collections.abc import Mapping
from typing import Any

from fireflywharf_core.results import Problem, ResultCode

from ._service import CallerError

_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")
_LINE_MAX_BYTES = 1024
_TRAILER_MAX_LINES = 32
_LONE_SURROGATE = re.compile("[\ud800-\udfff]")


class _IncompleteError(Exception):
    pass


class _TooLargeError(Exception):
    pass


class _MalformedError(Exception):
    pass


def _read_exactly(stream: Any, count: int) -> bytes:
    data = stream.read(count)
    if len(data) < count:
        raise _IncompleteError(
            f"the connection was closed {count - len(data)} bytes before the end"
        )
    return data


def _read_line(stream: Any) -> bytes:
    line = stream.readline(_LINE_MAX_BYTES)
    if not line.endswith(b"\r\n"):
        if len(line) >= _LINE_MAX_BYTES:
            raise _MalformedError("a line of the chunked body is too long")
        raise _IncompleteError("the connection was closed before the end of the chunked body")
    return line[:-2]


def _read_chunked(stream: Any, limit_bytes: int) -> bytes:
    chunks: list[bytes] = []
    total = 0
    while True:
        size_text = _read_line(stream).split(b";", 1)[0].strip()
        if not _CHUNK_SIZE.fullmatch(size_text):
            raise _MalformedError(f"the chunk size {size_text[:20]!r} is not a hexadecimal number")
        size = int(size_text, 16)
        if size == 0:
            break
        total += size
        if total > limit_bytes:
            raise _TooLargeError
        chunks.append(_read_exactly(stream, size))
        if _read_exactly(stream, 2) != b"\r\n":
            raise _MalformedError("a chunk does not end with CR LF")
    for _ in range(_TRAILER_MAX_LINES):
        if not _read_line(stream):
            return b"".join(chunks)
    raise _MalformedError("the chunked body has too many trailer lines")


def _read_limited(environ: Mapping[str, Any], limit_bytes: int) -> bytes:
    source = environ["wsgi.input"]
    length = environ.get("CONTENT_LENGTH", "")
    if environ.get("wsgi.input_terminated"):
        if length:
            raise _MalformedError("Content-Length and Transfer-Encoding cannot be used together")
        # The chunk reader of cheroot reads a whole chunk of any size, so the chunks are read from
        # the connection directly to enforce the limit.
        return _read_chunked(source.rfile, limit_bytes)
    if not length:
        return b""
    if not _LENGTH.fullmatch(length):
        raise _MalformedError("Content-Length is not a whole number")
    if int(length) > limit_bytes:
        raise _TooLargeError
    return _read_exactly(source, int(length))


def read_body(environ: Mapping[str, Any], limit_bytes: int) -> bytes | CallerError:
    """Read the body of a request.

    Args:
        environ: WSGI environment; its input raises `TimeoutError` after the time limit.
        limit_bytes: largest accepted size in bytes.

    Returns:
        The body, or the error for the caller.
    """
    try:
        return _read_limited(environ, limit_bytes)
    except TimeoutError:
        detail = "the body did not arrive within the time limit"
        return CallerError(ResultCode.BODY_INCOMPLETE, detail)
    except (_IncompleteError, OSError) as error:
        return CallerError(ResultCode.BODY_INCOMPLETE, f"the body is incomplete: {error}")
    except _TooLargeError:
        detail = f"the body exceeds {limit_bytes} bytes"
        return CallerError(ResultCode.BODY_TOO_LARGE, detail)
    except _MalformedError as error:
        return CallerError(ResultCode.INVALID_FIELD, str(error))


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    data = dict(pairs)
    if len(data) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"duplicate fields: {', '.join(duplicates)[:200]}")
    return data


def decode_json(body: bytes) -> tuple[Any, CallerError | None]:
    """Decode a JSON document; duplicate fields, NaN and lone surrogates are errors.

    Args:
        body: encoded document.

    Returns:
        The decoded document and None, or None and the error for the caller.
    """
    try:
        text = body.decode("utf-8")
        data = json.loads(
            text, parse_constant=_refuse_constant, object_pairs_hook=_object_without_duplicates
        )
        if "\\ud" in text.lower() and _LONE_SURROGATE.search(json.dumps(data, ensure_ascii=False)):
            raise ValueError("a string contains a lone surrogate")
        return data, None
    except UnicodeDecodeError as error:
        detail = f"the body is not UTF-8 at byte {error.start}"
    except json.JSONDecodeError as error:
        detail = f"{error.msg} at line {error.lineno}, column {error.colno}, byte {error.pos}"
        if not body:
            detail = "the body is empty; send it with Content-Length or in chunks"
    except RecursionError:
        detail = "the body is nested too deeply"
    except ValueError as error:
        detail = str(error)
    problem = Problem(ResultCode.INVALID_JSON, "(body)", repr(body[:40]), "a JSON object")
    return None, CallerError(ResultCode.INVALID_JSON, detail, (problem,))
