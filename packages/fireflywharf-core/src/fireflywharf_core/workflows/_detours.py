"""Rules for VMs that cannot use the log, and for their callers."""

from __future__ import annotations

_RETRY_MAX_S = 4.0
"""Maximum retry delay; outages of the log last up to 9 s, and callers retry four times."""
_JITTER = 0.25
"""Maximum relative change of the outage length, so that callers do not return together."""


def retry_after_s(outage_s: float, draw: float) -> int:
    """Return the delay after which a rejected caller should retry, in whole seconds.

    Load pattern: the log is unavailable for 4 to 9 s, and callers retry four times. A fixed delay
    of one second uses up all retries within the outage. A delay of one second more than the outage
    has lasted roughly doubles with each retry, so that the last retry is after the outage.

    Args:
        outage_s: length of the outage so far, in seconds; 0 if there is none.
        draw: random number from 0 to 1 that spreads the callers.
    """
    spread_s = outage_s * (1 - _JITTER + 2 * _JITTER * draw)
    return round(min(_RETRY_MAX_S, 1.0 + spread_s))
