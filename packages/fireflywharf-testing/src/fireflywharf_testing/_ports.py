"""Free ports below the ephemeral range.

An ephemeral port can be taken by an outgoing connection while its server is down, and cheroot sets
SO_REUSEADDR only on a port that was named, without which a server cannot return to its port.

A port is also held by a name that all processes of the machine share: between the look at a port
and the start of its server, or while its server is down, another test run could choose it.
"""

import random
import socket
import sys
import threading

LOWEST_PORT = 20_000
HIGHEST_PORT = 32_000
_MAX_TRIES = 1000

_random = random.SystemRandom()
_lock = threading.Lock()
_reservations: dict[int, socket.socket] = {}


def reserve_port(host: str, following_count: int = 0) -> int:
    """Return a port that is free now and that no living process of the machine was given.

    Args:
        host: IP address.
        following_count: number of ports after it that are given with it.

    Returns:
        The port.

    Raises:
        OSError: no free port was found.
    """
    with _lock:
        for _ in range(_MAX_TRIES):
            first = _random.randrange(LOWEST_PORT, HIGHEST_PORT)
            ports = range(first, first + 1 + following_count)
            if any(port in _reservations for port in ports):
                continue
            reservations = {
                port: reservation
                for port in ports
                if (reservation := _bind_reservation(host, port)) is not None
            }
            if len(reservations) == len(ports):
                _reservations.update(reservations)
                return first
            for reservation in reservations.values():
                reservation.close()
    raise OSError(f"no free port between {LOWEST_PORT} and {HIGHEST_PORT} on {host}")


def _bind_reservation(host: str, port: int) -> socket.socket | None:
    """Return a socket whose name holds the port; None when the port is held or in use."""
    reservation = socket.socket(socket.AF_UNIX)
    try:
        if sys.platform == "linux":
            # A name that starts with a zero byte is no file and ends with its process.
            reservation.bind(f"\0fireflywharf-port-{port}")
        with socket.socket() as probe:
            probe.bind((host, port))
    except OSError:
        reservation.close()
        return None
    return reservation
