"""Command `fireflywharf-standin`: runs the stand-ins of a topology as one process."""

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
    """Run log, VM list, workers and targets until SIGTERM or SIGINT.

    The first line of standard output is a JSON object with all addresses.

    Args:
        topology: TOML file with the failure domains.
        effects: file to which the effects are appended as JSON lines.

    Returns:
        Exit status.
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
