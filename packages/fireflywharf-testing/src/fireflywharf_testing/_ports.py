"""Reservation of free ports below the ephemeral range.

Ports of the ephemeral range are avoided, because an outgoing connection can take such a port while
its server is down. Port 0 is avoided, because cheroot sets SO_REUSEADDR only for an explicit port,
and without it a restarted server cannot bind its former port.

Each port is reserved machine-wide by an abstract Unix socket. Without the reservation, another test
run could choose the port before its server has started or while its server is down.
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
    """Reserve a free port until this process ends.

    Args:
        host: IP address on which the port must be free.
        following_count: number of consecutive ports after the first that are reserved as well.

    Returns:
        The first port.

    Raises:
        OSError: no free port was found within `_MAX_TRIES` random tries.
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
    """Return a Unix socket that reserves the port, or None when the port is reserved or in use."""
    reservation = socket.socket(socket.AF_UNIX)
    try:
        if sys.platform == "linux":
            # Abstract socket name (leading zero byte): no file, released when the process ends.
            reservation.bind(f"\0fireflywharf-port-{port}")
        with socket.socket() as probe:
            probe.bind((host, port))
    except OSError:
        reservation.close()
        return None
    return reservation
