"""Steps for connections of fireflywharfd that go silent: to targets, and in the mesh."""

import threading

from behave import given, then, when
from mesh_steps import Peer, build_heartbeat
from platform_clients_steps import send_concurrently, send_request, start_target
from silencing_proxy import SilencingProxy

from fireflywharf_core.messages import JobAnswer, JobQuery
from fireflywharf_daemon.mesh._frames import Sender
from fireflywharf_daemon.platform import Failed, Success
from fireflywharf_testing import reserve_port, wait_until


class ProxiedPeer(Peer):
    """A peer that others reach only through a proxy."""

    def __init__(self, name, port):
        super().__init__(name, port)
        self.proxy = SilencingProxy(("127.0.0.1", port))
        self.address = self.proxy.address
        # Others reply to this address, and know the peer by it.
        self.mesh._sender = Sender(self.mesh.incarnation, self.address)

    def close(self):
        self.mesh.close()
        self.proxy.close()


@given('a peer "c" behind a proxy that sends heartbeats to "a" every {interval_s:g} s')
def start_proxied_peer(context, interval_s):
    peer = context.proxied_peer = ProxiedPeer("c", reserve_port("127.0.0.1"))
    ended = threading.Event()

    def send():
        sequence = 0
        while not ended.wait(interval_s):
            sequence += 1
            peer.mesh.send(context.peers["a"].address, build_heartbeat(sequence))

    sender = threading.Thread(target=send)
    sender.start()
    context.add_cleanup(peer.close)
    context.add_cleanup(sender.join)
    context.add_cleanup(ended.set)


@when('"a" has called "c" and the connections of the proxy go silent')
def silence_proxy(context):
    a, c = context.peers["a"], context.proxied_peer
    assert isinstance(a.mesh.call(c.address, JobQuery("x"), 2000), JobAnswer)
    c.proxy.silence()


@then('"a" sends heartbeats and reaches "c" again within {limit_s:g} s')
def check_reached_again(context, limit_s):
    a, c = context.peers["a"], context.proxied_peer

    def is_reached():
        a.mesh.send(c.address, build_heartbeat(1))
        return isinstance(a.mesh.call(c.address, JobQuery("x"), 200), JobAnswer)

    assert not is_reached()
    assert wait_until(is_reached, limit_s)


@given('a target that behaves as "{behaviour}" behind a proxy')
def start_proxied_target(context, behaviour):
    start_target(context, behaviour)
    host, _, port = context.target.address.partition(":")
    context.proxy = SilencingProxy((host, int(port)))
    context.add_cleanup(context.proxy.close)
    context.target.address = context.proxy.address


@when(
    "{first:d} requests are sent to it at once, its connections go silent,"
    " and {count:d} follow one by one"
)
def send_before_and_after_silence(context, first, count):
    send_concurrently(context, first, 5.0, first + 2)
    assert all(isinstance(outcome, Success) for outcome in context.target_outcomes)
    context.proxy.silence()
    context.target_outcomes = [
        send_request(context, number, 0.6, first + 2) for number in range(count)
    ]


@then("{failed:d} of the {count:d} requests failed")
def check_failed_count(context, failed, count):
    found = [outcome for outcome in context.target_outcomes if isinstance(outcome, Failed)]
    assert (len(found), len(context.target_outcomes)) == (failed, count), context.target_outcomes
