"""Factories and filters that the steps for the router share."""

import random

from routing_fakes import SERVICE, make_contract, make_target_vm

from fireflywharf_core.platform import TargetStatus
from fireflywharf_core.routing import (
    Answer,
    ContractChanged,
    RequestArrived,
    RequestRouter,
    RoutingPolicy,
    SendSucceeded,
    SendToTarget,
    TargetLeaseGranted,
    TargetListed,
)


def make_router(policy=None, incarnation="entry-1.a1"):
    """Return a router that knows the contract of customer austral."""
    router = RequestRouter(
        incarnation=incarnation,
        domain="centro-1",
        region="centro",
        rng=random.Random(7),
        policy=policy or RoutingPolicy(),
    )
    router.observe(ContractChanged("austral", make_contract("austral")), 0.0)
    return router


def grant_target_lease(router, name, slots_count, now_s=0.0, **changes):
    """List a target to the router and grant its lease."""
    router.observe(TargetListed(make_target_vm(name, slots_count)), now_s)
    fields = {"epoch": 1, "boot_id": "boot-1", "lease_until_s": now_s + 1000.0, "asked_s": now_s}
    router.observe(TargetLeaseGranted(name=name, **(fields | changes)), now_s)


def make_request(number, **changes):
    """Return the arrival of an idempotent request."""
    fields = {"customer": "austral", "service": SERVICE, "kind": "short", "idempotent": True}
    fields |= {"body_digest": b"content", "body_bytes": 1000, "deadline_s": 10.0}
    return RequestArrived(request_id=f"r{number}", **(fields | changes))


def select_sends(actions):
    """Return the sends among actions."""
    return [action for action in actions if isinstance(action, SendToTarget)]


def outcomes_by_request(actions):
    """Return the outcomes of the answers among actions, by request."""
    return {a.request_id: a.outcome for a in actions if isinstance(a, Answer)}


def make_status(*in_progress):
    """Return a status of the first boot of a target with these requests in progress."""
    return TargetStatus("boot-1", 1, False, list(in_progress))


def make_success(send_id, body=b"done", elapsed_s=0.1):
    """Return the event of a complete answer to a send."""
    return SendSucceeded(send_id, 200, body, send_id, True, elapsed_s)
