"""Steps for versions of the configuration that callers have seen through a peer."""

import asyncio

import msgspec
from aiohttp import web
from behave import given, then, when
from prometheus_client import CollectorRegistry
from team_keys_world import KeyWorld, make_check

from fireflywharf_daemon.workflows import TakenCalls, WorkflowMetrics
from fireflywharf_daemon.workflows._forwarding import CallAnswer, CallMessage


@given("a VM that has read version {version:d}")
def create_vm(context, version):
    context.world = KeyWorld(context, make_check(), requires_keys=False)
    context.world.put_version(version, None)
    context.world.read()
    context.handled_count = 0


@when("it passes on the answer of a peer that has version {version:d}")
def pass_on(context, version):
    context.world.service.raise_floor(version)


@when("it reads version {version:d}")
def read_version(context, version):
    context.world.put_version(version, None)
    context.world.read()


@then("it answers a call of an unknown queue with {status:d}")
def check_unknown_queue(context, status):
    assert context.world.call(None, "/unknown/") == status


@then("a forwarded call that needs version {version:d} is answered with {status:d}")
def check_forwarded(context, version, status):
    taken = TakenCalls(3, lambda: True, WorkflowMetrics(CollectorRegistry()))
    taken.floor = context.world.service

    async def handle(request):
        return web.Response(status=200)

    taken.handler = handle
    message = CallMessage("GET", "/jobs/", {}, b"", 1000, version)
    response = asyncio.run(taken.serve(message))
    assert response.status == status, response.status
    if status == 200:
        answer = msgspec.msgpack.decode(response.body, type=CallAnswer)
        assert answer.version == context.world.service.version
