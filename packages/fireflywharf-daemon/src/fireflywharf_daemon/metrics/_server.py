"""WSGI application that serves the metrics."""

from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

METRICS_PATH = "/metrics"


def build_metrics_application(
    registry: CollectorRegistry,
) -> Callable[[dict[str, Any], Any], Iterable[bytes]]:
    """Build a WSGI application that serves a registry at `/metrics`.

    Args:
        registry: registry to serve.

    Returns:
        The WSGI application, to be served by `HttpServer`.
    """

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        is_metrics_request = environ.get("PATH_INFO") == METRICS_PATH and method in ("GET", "HEAD")
        body = generate_latest(registry) if is_metrics_request else b"metrics are at GET /metrics\n"
        headers = [
            ("Content-Type", CONTENT_TYPE_LATEST if is_metrics_request else "text/plain"),
            ("Content-Length", str(len(body))),
        ]
        if environ.get("CONTENT_LENGTH", "0") != "0" or environ.get("wsgi.input_terminated"):
            headers.append(("Connection", "close"))
        start_response("200 OK" if is_metrics_request else "404 Not Found", headers)
        return [] if method == "HEAD" else [body]

    return application
