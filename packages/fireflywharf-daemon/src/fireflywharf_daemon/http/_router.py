"""WSGI application with all routes of `docs/api.md`."""

import functools
import logging
import re
import threading
import time
import urllib.parse
import uuid
from collections.abc import Callable, Iterable
from concurrent.futures import CancelledError, Future
from typing import Any, Protocol

import attrs

from fireflywharf_core.results import Problem, ResultCode

from ._answers import HttpAnswer, build_answer, error_answer, json_answer
from ._body import decode_json, read_body
from ._deferred import DeferredAnswer
from ._parse import (
    parse_contract_change,
    parse_declare_domain_lost,
    parse_issue_keys,
    parse_request,
    parse_submission,
)
from ._service import CallerError, CallerService

_logger = logging.getLogger(__name__)

# Calls that only queue work release their slot within milliseconds; a longer wait means overload.
SLOT_TIMEOUT_S = 0.1


class HttpObserver(Protocol):
    """Receives each answered HTTP request; called concurrently from many threads."""

    def http_answered(self, route: str, code: ResultCode, elapsed_s: float) -> None:
        """Record an answered request.

        Args:
            route: path of the route, with `NAME` or `ID` for the variable parts, or `unknown`.
            code: result code of the answer.
            elapsed_s: time from the call of the application to the answer, in seconds.
        """


@functools.cache
def _compile_path_pattern(path: str) -> re.Pattern[str]:
    return re.compile(re.sub(r"NAME|ID", "([^/]+)", path))


@attrs.frozen(slots=True)
class _Call:
    service: CallerService
    parts: tuple[str, ...]
    query: dict[str, str]
    data: Any


@attrs.frozen(slots=True)
class _Route:
    """A route: one HTTP method of one path.

    Args:
        method: HTTP method.
        path: path with `NAME` or `ID` for the variable parts; label of the metrics.
        handle: returns the answer to a call.
        has_body: whether the call has a JSON body.
        query: names of the accepted query parameters.
        reserved: whether the call is answered without a request slot.
    """

    method: str
    path: str
    handle: Callable[[_Call], Any]
    has_body: bool = False
    query: tuple[str, ...] = ()
    reserved: bool = False

    def match(self, path: str) -> tuple[str, ...] | None:
        """Return the variable parts of `path`, or None if the path does not match."""
        matched = _compile_path_pattern(self.path).fullmatch(path)
        return None if matched is None else matched.groups()


def _make_parsing_handler(
    parse: Callable[..., Any], use: Callable[[CallerService, Any], Any]
) -> Callable[[_Call], Any]:
    def handle(call: _Call) -> Any:
        parsed = parse(*call.parts, call.data)
        return parsed if isinstance(parsed, CallerError) else use(call.service, parsed)

    return handle


def _make_probe_handler(
    code: ResultCode, check: Callable[[CallerService], bool]
) -> Callable[[_Call], Any]:
    def handle(call: _Call) -> Any:
        if check(call.service):
            return json_answer(ResultCode.OK, {})
        return CallerError(code, "not ready" if code is ResultCode.NOT_READY else "not healthy")

    return handle


_ROUTES = (
    _Route(
        "POST",
        "/v1/jobs",
        _make_parsing_handler(parse_submission, lambda service, job: service.submit_job(job)),
        has_body=True,
    ),
    _Route(
        "GET",
        "/v1/jobs",
        lambda call: call.service.list_jobs(call.query.get("customer")),
        query=("customer",),
    ),
    _Route("GET", "/v1/jobs/ID", lambda call: call.service.job_status(*call.parts)),
    _Route("GET", "/v1/jobs/ID/explain", lambda call: call.service.explain_job(*call.parts)),
    _Route("POST", "/v1/jobs/ID/cancel", lambda call: call.service.cancel_job(*call.parts)),
    _Route(
        "POST",
        "/v1/keys",
        _make_parsing_handler(
            parse_issue_keys, lambda service, keys_request: service.issue_keys(keys_request)
        ),
        has_body=True,
    ),
    _Route(
        "POST",
        "/v1/requests",
        _make_parsing_handler(
            parse_request, lambda service, request: service.execute_request(request)
        ),
        has_body=True,
    ),
    _Route("GET", "/v1/contracts", lambda call: call.service.list_contracts()),
    _Route("GET", "/v1/contracts/NAME", lambda call: call.service.get_contract(*call.parts)),
    _Route(
        "GET",
        "/v1/contracts/NAME/history",
        lambda call: call.service.contract_history(*call.parts),
    ),
    _Route(
        "PUT",
        "/v1/contracts/NAME",
        _make_parsing_handler(
            parse_contract_change, lambda service, change: service.apply_contract(change)
        ),
        has_body=True,
    ),
    _Route("GET", "/v1/vms", lambda call: call.service.list_vms()),
    _Route("GET", "/v1/status", lambda call: call.service.status(), reserved=True),
    _Route(
        "POST",
        "/v1/domains/NAME/lost",
        _make_parsing_handler(
            parse_declare_domain_lost,
            lambda service, declared: service.declare_domain_lost(declared),
        ),
        has_body=True,
    ),
    _Route(
        "GET",
        "/healthz",
        _make_probe_handler(ResultCode.INTERNAL_ERROR, lambda service: service.healthy()),
        reserved=True,
    ),
    _Route(
        "GET",
        "/readyz",
        _make_probe_handler(ResultCode.NOT_READY, lambda service: service.ready()),
        reserved=True,
    ),
)


def _find_route(method: str, path: str) -> tuple[_Route, tuple[str, ...]] | CallerError:
    methods = []
    for route in _ROUTES:
        parts = route.match(path)
        if parts is not None:
            if route.method == method:
                return route, parts
            methods.append(route.method)
    if methods:
        detail = f"path {path[:200]} does not accept {method[:20]}; accepted: {', '.join(methods)}"
    else:
        detail = f"unknown path: {path[:200]}"
    return CallerError(ResultCode.UNKNOWN_ROUTE, detail)


def _parse_query(text: str, route: _Route) -> dict[str, str] | CallerError:
    pairs = urllib.parse.parse_qsl(text, keep_blank_values=True)
    values = dict(pairs)
    accepted = f"one of: {', '.join(route.query)}" if route.query else "no query parameters"
    problems = tuple(
        Problem(ResultCode.INVALID_FIELD, name, repr(value)[:80], accepted)
        for name, value in values.items()
        if name not in route.query
    )
    if len(values) < len(pairs):
        problems += (
            Problem(ResultCode.INVALID_FIELD, "(query)", text[:80], "each parameter once"),
        )
    if problems:
        return CallerError(ResultCode.INVALID_FIELD, "the query parameters are not valid", problems)
    return values


def _evaluate_call(path: str, evaluate: Callable[[], Any]) -> "HttpAnswer | Future[Any]":
    """Return the HTTP answer of a call, or the future of its answer.

    Args:
        path: path of the route, for the log.
        evaluate: calls the service; an exception becomes an `INTERNAL_ERROR` answer.
    """
    try:
        result = evaluate()
        return result if isinstance(result, HttpAnswer | Future) else build_answer(result)
    except (Exception, CancelledError):
        error_id = uuid.uuid4().hex[:12]
        _logger.exception("call of %s failed", path, extra={"error_id": error_id})
        detail = f"unexpected error {error_id}; see the log of the daemon"
        return error_answer(CallerError(ResultCode.INTERNAL_ERROR, detail))


class _Application:
    """WSGI application; see `build_application`."""

    def __init__(
        self,
        service: CallerService,
        body_max_bytes: int,
        requests_max: int,
        observer: HttpObserver | None,
    ) -> None:
        self.service = service
        self.body_max_bytes = body_max_bytes
        self.requests_max = requests_max
        self.observer = observer
        self._slots = threading.BoundedSemaphore(requests_max)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one HTTP request."""
        started_s = time.monotonic()
        route_or_error = _find_route(environ["REQUEST_METHOD"], environ.get("PATH_INFO", ""))
        if isinstance(route_or_error, CallerError):
            path, answer, body_read = "unknown", error_answer(route_or_error), False
        else:
            route, parts = route_or_error
            path = route.path
            answer, body_read = self._answer_in_slot(route, parts, environ)
        # An unread body would be parsed as the next request, so the connection must be closed.
        must_close = not body_read and (
            environ.get("CONTENT_LENGTH", "0") != "0" or environ.get("wsgi.input_terminated")
        )

        def finish(result: HttpAnswer) -> bytes:
            headers = [*result.headers, ("Connection", "close")] if must_close else result.headers
            if self.observer is not None:
                self.observer.http_answered(path, result.code, time.monotonic() - started_s)
            start_response(result.status_line, headers)
            return b"" if environ["REQUEST_METHOD"] == "HEAD" else result.body

        if isinstance(answer, Future):
            return DeferredAnswer(
                answer, lambda future: finish(_evaluate_call(path, future.result))
            )
        return [finish(answer)]

    def _answer_in_slot(
        self, route: _Route, parts: tuple[str, ...], environ: dict[str, Any]
    ) -> "tuple[HttpAnswer | Future[Any], bool]":
        """Answer a call while holding a request slot; reserved routes need no slot.

        Returns:
            The answer or its future, and whether the body was read.
        """
        if route.reserved:
            return self._answer(route, parts, environ)
        if not self._slots.acquire(timeout=SLOT_TIMEOUT_S):
            detail = f"{self.requests_max} calls are already in progress at this entry VM"
            error = CallerError(ResultCode.QUEUE_FULL, detail, retry_after_s=1.0)
            return error_answer(error), False
        try:
            return self._answer(route, parts, environ)
        finally:
            self._slots.release()

    def _answer(
        self, route: _Route, parts: tuple[str, ...], environ: dict[str, Any]
    ) -> "tuple[HttpAnswer | Future[Any], bool]":
        query = _parse_query(environ.get("QUERY_STRING", ""), route)
        if isinstance(query, CallerError):
            return error_answer(query), False
        body = read_body(environ, self.body_max_bytes)
        if isinstance(body, CallerError):
            return error_answer(body), False
        data = None
        if route.has_body:
            data, error = decode_json(body)
            if error is not None:
                return error_answer(error), True
        call = _Call(self.service, parts, query, data)
        return _evaluate_call(route.path, lambda: route.handle(call)), True


def build_application(
    service: CallerService,
    body_max_bytes: int = 1_048_576,
    requests_max: int = 56,
    observer: HttpObserver | None = None,
) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application for callers and operators.

    Args:
        service: caller service that answers the calls.
        body_max_bytes: largest accepted body in bytes.
        requests_max: number of request slots; further calls are refused with `QUEUE_FULL`.
            Deferred answers hold no slot. The number must be lower than that of the HTTP threads,
            so that `/healthz`, `/readyz`, `/v1/status` and refusals are answered while all slots
            are taken.
        observer: receives each answered request.

    Returns:
        WSGI application for `HttpServer`.
    """
    return _Application(service, body_max_bytes, requests_max, observer)
