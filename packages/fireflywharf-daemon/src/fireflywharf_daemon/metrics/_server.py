"""WSGI application for the metrics."""

from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

METRICS_PATH = "/metrics"


def build_metrics_application(
    registry: CollectorRegistry,
) -> Callable[[dict[str, Any], Any], Iterable[bytes]]:
    """Return the WSGI application that serves a registry at `/metrics`.

    Args:
        registry: registry to serve.

    Returns:
        The application for `HttpServer`.
    """

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        known = environ.get("PATH_INFO") == METRICS_PATH and method in ("GET", "HEAD")
        body = generate_latest(registry) if known else b"metrics are at GET /metrics\n"
        headers = [
            ("Content-Type", CONTENT_TYPE_LATEST if known else "text/plain"),
            ("Content-Length", str(len(body))),
        ]
        if environ.get("CONTENT_LENGTH", "0") != "0" or environ.get("wsgi.input_terminated"):
            headers.append(("Connection", "close"))
        start_response("200 OK" if known else "404 Not Found", headers)
        return [] if method == "HEAD" else [body]

    return application
