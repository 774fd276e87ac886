"""Clock for times that must not stand still while the VM is suspended."""

import time


def boot_time_s() -> float:
    """Return a monotonic time that, unlike `time.monotonic`, includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
