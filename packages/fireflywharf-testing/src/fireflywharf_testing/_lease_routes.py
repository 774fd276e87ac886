"""HTTP handlers of the holder lease, shared by workers and targets."""

import math
from collections.abc import Callable

from fireflywharf_core.checking import FieldChecker
from fireflywharf_core.platform import ClaimAnswer
from fireflywharf_core.results import ResultCode

from ._server import Answer, Call, json_answer


def handle_claim(call: Call, claim: Callable[[str, float, bool], ClaimAnswer]) -> Answer:
    """Answer `POST /v1/claim` with the JSON fields `holder`, `ttl_s` and `renew_tasks`.

    Args:
        call: the HTTP call.
        claim: claims the lease; takes the holder, the duration in seconds and whether task leases
            are renewed as well.
    """
    checker = FieldChecker(call.json(), ResultCode.INVALID_FIELD)
    holder = checker.read_field("holder", str, "the holder's incarnation", check=bool)
    ttl_s = checker.read_field(
        "ttl_s", float, "a number above 0", check=lambda v: math.isfinite(v) and v > 0
    )
    renew_tasks = checker.read_field("renew_tasks", bool, "true or false", False)
    if problems := checker.finish():
        return json_answer({"problems": [str(problem) for problem in problems]}, 400)
    return json_answer(claim(holder, ttl_s, renew_tasks))


def handle_release(call: Call, release: Callable[[int], bool]) -> Answer:
    """Answer `POST /v1/release` with the JSON field `epoch`.

    Args:
        call: the HTTP call.
        release: releases the lease; takes the epoch and returns whether it was valid.
    """
    checker = FieldChecker(call.json(), ResultCode.INVALID_FIELD)
    epoch = checker.read_field("epoch", int, "the holder's epoch")
    if problems := checker.finish():
        return json_answer({"problems": [str(problem) for problem in problems]}, 400)
    if not release(epoch):
        return json_answer({"detail": "stale epoch or expired lease"}, 409)
    return json_answer({})
