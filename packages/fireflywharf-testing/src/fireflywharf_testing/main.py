"""Command `fireflywharf-standin`: runs the stand-ins of a topology in one process."""

import json
import logging
import pathlib
import signal
import sys
import threading

import defopt

from ._platform import Platform
from ._topology import TopologyError, load_topology

INVALID_TOPOLOGY_STATUS = 21


def run_stand_ins(*, topology: pathlib.Path, effects: pathlib.Path | None = None) -> int:
    """Run the log, the VM list, the workers and the targets until SIGTERM or SIGINT.

    The first line on standard output is a JSON object with the addresses of all stand-ins.

    Args:
        topology: TOML file with the failure domains.
        effects: file to which history records are appended as JSON lines.

    Returns:
        Exit status: 0 after a signal, 21 when the topology is not valid.
    """
    logging.basicConfig(level=logging.WARNING)
    try:
        loaded = load_topology(topology)
    except TopologyError as error:
        print(error, file=sys.stderr)
        return INVALID_TOPOLOGY_STATUS
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    with Platform(loaded, effects) as platform:
        print(json.dumps(platform.addresses()), flush=True)
        stopping.wait()
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(run_stand_ins))


if __name__ == "__main__":
    main()
