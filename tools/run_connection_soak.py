"""Runs daemons whose connections go silent and whose calls to the store are rejected.

Usage: `run_connection_soak.py --seed 1 --seeds 3 --rounds 2 --daemons 4 --keys`.
"""

import argparse
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "features" / "steps"))

from connection_soak import ConnectionSoak  # noqa: E402


def main() -> int:
    """Run each seed in turn and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--keys", action="store_true", help="revoke and add keys of teams")
    arguments = parser.parse_args()
    failed_count = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        soak = ConnectionSoak(seed, arguments.rounds, arguments.daemons, arguments.keys)
        soak.run()
        print(f"seed {seed}: {len(soak.breaches)} breaches, {len(soak.events)} events", flush=True)
        if soak.callers is not None:
            print(f"  calls with keys: {dict(sorted(soak.callers.statuses.items()))}", flush=True)
        if soak.breaches:
            failed_count += 1
            lines = [*soak.breaches[:4], *map(str, soak.kept_folders)]
            print("\n".join(lines), flush=True)
    print(f"{arguments.seeds - failed_count} seeds passed, {failed_count} failed")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
