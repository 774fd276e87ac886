"""Free ports below the ephemeral range.

An ephemeral port can be taken by an outgoing connection while its server is down, and cheroot sets
SO_REUSEADDR only on a port that was named, without which a server cannot return to its port.
"""

import random
import socket
import threading

LOWEST_PORT = 20_000
HIGHEST_PORT = 32_000
_MAX_TRIES = 1000

_random = random.SystemRandom()
_lock = threading.Lock()
_given: set[int] = set()


def free_port(host: str) -> int:
    """Return a port that is free now and was not given out before in this process.

    Args:
        host: IP address.

    Returns:
        The port.

    Raises:
        OSError: no free port was found.
    """
    with _lock:
        for _ in range(_MAX_TRIES):
            port = _random.randrange(LOWEST_PORT, HIGHEST_PORT)
            if port in _given:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    continue
            _given.add(port)
            return port
    raise OSError(f"no free port between {LOWEST_PORT} and {HIGHEST_PORT} on {host}")
