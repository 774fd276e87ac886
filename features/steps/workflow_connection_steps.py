"""Steps for connections that go silent, between the HTTP client and a server."""

import asyncio
import contextlib

from aiohttp import web
from behave import given, then, when

from fireflywharf_daemon.workflows import Answer, Connection, HttpClient, NoAnswer, NotSent
from fireflywharf_testing.platform_stand_ins import Direction, SilenceableServer

CONNECTIONS_MAX = 12
TIMEOUT_S = 0.5
POLL_S = 0.6
ANSWER_DELAY_S = 0.1
"""Delay of an answer that makes requests overlap."""
HELD_S = 30.0


class ConnectionWorld:
    """A client and a server in one event loop.

    Args:
        keepalive: arguments of the client for the time for which it keeps connections.
    """

    def __init__(self, **keepalive):
        self.loop = asyncio.new_event_loop()
        self.client = HttpClient(CONNECTIONS_MAX, **keepalive)
        self.server = SilenceableServer(self.serve)
        self.opened = set()
        self.port = 0
        self.runner = None
        self.run(self.client.open())
        self.run(self.listen())

    def run(self, coroutine):
        """Run a coroutine to its end and return its result."""
        return self.loop.run_until_complete(coroutine)

    async def serve(self, request):
        """Answer a request after the delay that its path names."""
        self.opened.add(request.transport)
        delay_s = float(request.path.strip("/"))
        await asyncio.sleep(delay_s)
        return web.Response(body=b"{}")

    async def listen(self):
        """Accept connections on the same port as before, if there was one."""
        self.runner = web.ServerRunner(web.Server(self.server.serve), shutdown_timeout=0.0)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port, reuse_address=True).start()
        self.port = self.runner.addresses[0][1]

    async def restart(self):
        """Close all connections and listen again."""
        await self.runner.cleanup()
        await self.listen()

    async def call(self, delay_s=0.0, timeout_s=TIMEOUT_S, **options):
        """Send a request that the server answers after a delay; return the outcome."""
        url = f"http://127.0.0.1:{self.port}/{delay_s}"
        return await self.client.call("GET", url, timeout_s=timeout_s, **options)

    async def call_concurrently(self, count):
        """Send requests at the same time, each on a connection of its own."""
        outcomes = await asyncio.gather(*(self.call(ANSWER_DELAY_S) for _ in range(count)))
        assert all(isinstance(outcome, Answer) for outcome in outcomes), outcomes

    def close(self):
        """Close the client and the server."""
        self.run(self.client.close())
        self.run(self.runner.cleanup())
        self.loop.close()


def make_world(context, count, **keepalive):
    world = context.world = ConnectionWorld(**keepalive)
    context.add_cleanup(world.close)
    world.run(world.call_concurrently(count))
    outcome = world.run(world.call(connection=Connection.DEDICATED))
    assert isinstance(outcome, Answer), outcome


@given("a server to which a client has {count:d} idle connections")
def connect(context, count):
    make_world(context, count)


@given(
    "a server to which a client that keeps connections for {keepalive_s:g} s has"
    " {count:d} idle connections"
)
def connect_with_keepalive(context, keepalive_s, count):
    make_world(context, count, keepalive_s=keepalive_s)


@when("all its connections lose {lost}")
def silence(context, lost):
    assert context.world.server.silence(Direction(lost)) > 0


@when("{seconds:g} s pass and all its connections lose {lost}")
def wait_and_silence(context, seconds, lost):
    context.world.run(asyncio.sleep(seconds))
    context.world.server.silence(Direction(lost))


@when("a long poll on the dedicated connection gets no answer")
def poll(context):
    world = context.world
    call = world.call(POLL_S, POLL_S + TIMEOUT_S, wait_s=POLL_S, connection=Connection.DEDICATED)
    outcome = world.run(call)
    assert isinstance(outcome, NoAnswer), outcome


@when("{count:d} requests are answered during a long poll," " and then all connections lose {lost}")
def silence_during_poll(context, count, lost):
    world = context.world

    async def run():
        poll = asyncio.create_task(world.call(POLL_S, POLL_S + TIMEOUT_S, wait_s=POLL_S))
        await asyncio.sleep(ANSWER_DELAY_S)
        await world.call_concurrently(count)
        world.server.silence(Direction(lost))
        return await poll

    outcome = world.run(run())
    assert isinstance(outcome, NoAnswer), outcome


@when("a caller gives up a request after {seconds:g} s")
def give_up(context, seconds):
    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await context.world.call(timeout_s=HELD_S)

    context.world.run(run())


@when("a caller cancels a long poll after {seconds:g} s")
def cancel_poll(context, seconds):
    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await context.world.call(HELD_S, HELD_S, wait_s=HELD_S)

    context.world.run(run())


@when("a request on a new connection gets no answer")
def call_on_new_connection(context):
    world = context.world

    async def run():
        calls = [asyncio.create_task(world.call(ANSWER_DELAY_S)) for _ in range(11)]
        await asyncio.sleep(0)
        outcome = await world.call(HELD_S)
        assert isinstance(outcome, NoAnswer), outcome
        await asyncio.gather(*calls)

    world.run(run())


@when("one request gets no answer while {count:d} others are answered")
def lose_one_answer(context, count):
    world = context.world

    async def run():
        unanswered = asyncio.create_task(world.call(HELD_S))
        await asyncio.sleep(0)
        await world.call_concurrently(count)
        return await unanswered

    outcome = world.run(run())
    assert isinstance(outcome, NoAnswer), outcome


@when("the server restarts")
def restart(context):
    context.world.run(context.world.restart())


@when("{count:d} requests use all connections and another one has a timeout of {timeout_s:g} s")
def use_all_connections(context, count, timeout_s):
    world = context.world

    async def run():
        calls = [asyncio.create_task(world.call()) for _ in range(count)]
        await asyncio.sleep(0.05)
        outcome = await world.call(timeout_s=timeout_s)
        await asyncio.gather(*calls)
        return outcome

    context.requests_before = world.server.requests_count
    context.outcome = world.run(run())


@then("that request was not sent")
def check_not_sent(context):
    assert isinstance(context.outcome, NotSent), context.outcome
    assert context.world.server.requests_count == context.requests_before


@then("{expected:d} of the next {count:d} requests of the client gets no answer")
def check_unanswered(context, expected, count):
    outcomes = [context.world.run(context.world.call()) for _ in range(count)]
    unanswered = [outcome for outcome in outcomes if not isinstance(outcome, Answer)]
    assert len(unanswered) == expected, outcomes


@then("a request on the dedicated connection gets an answer")
def check_dedicated(context):
    outcome = context.world.run(context.world.call(connection=Connection.DEDICATED))
    assert isinstance(outcome, Answer), outcome


@then("the next {count:d} concurrent requests open no connection")
def check_no_new_connection(context, count):
    world = context.world
    before = set(world.opened)
    world.run(world.call_concurrently(count))
    assert world.opened <= before, (len(world.opened), len(before))
