"""Steps for the HTTP client of the daemon."""

import asyncio
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from behave import given, then, when

from fireflywharf_daemon.workflows import HttpClient


class DelayedAnswer(BaseHTTPRequestHandler):
    """Answers each request after the delay of its server."""

    def do_GET(self):  # noqa: N802
        time.sleep(self.server.delay_s)
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, *_):
        """Log nothing."""


@given("a server that answers after {delay_s:g} s")
def start_server(context, delay_s):
    server = context.server = ThreadingHTTPServer(("127.0.0.1", 0), DelayedAnswer)
    server.daemon_threads = True
    server.delay_s = delay_s
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)


@when("a process sends a request with a timeout of {timeout_s:g} s and is paused for {pause_s:g} s")
def send_and_pause(context, timeout_s, pause_s):
    async def run():
        client = HttpClient(1)
        await client.open()
        url = f"http://127.0.0.1:{context.server.server_address[1]}/"
        call = asyncio.create_task(client.call("GET", url, timeout_s=timeout_s))
        await asyncio.sleep(0.05)
        # Blocks the event loop, as a pause of the process does.
        time.sleep(pause_s)
        outcome = await call
        await client.close()
        return outcome

    context.outcome = asyncio.run(run())


@then('the outcome of the request is "{outcome}"')
def check_outcome(context, outcome):
    assert type(context.outcome).__name__ == outcome, context.outcome
