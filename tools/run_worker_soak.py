"""Runs daemons against stand-in workers that fail, and checks the rules TWICE and LOST.

Usage: `run_worker_soak.py --mix restarts --seed 1 --seeds 3 --seconds 40 --workers 24 --daemons 7`.
"""

import argparse
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "features" / "steps"))

from worker_soak import SoakPlan, WorkerSoak  # noqa: E402
from worker_soak_faults import MIXES  # noqa: E402


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--mix", choices=[*MIXES, "all", "none"], default="all")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the traffic")
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--rate", type=float, default=8.0, help="jobs per second")
    parser.add_argument(
        "--forget",
        choices=["later", "listed"],
        default="later",
        help="ends that an acknowledged number forgets: also later ones, or only listed ones",
    )
    parser.add_argument("--show", type=int, default=3, help="breaches that are printed per seed")
    return parser.parse_args()


def main(arguments: argparse.Namespace) -> int:
    """Run each seed in turn and return the exit status."""
    failed_seeds_count = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        plan = SoakPlan(
            seed,
            arguments.mix,
            arguments.seconds,
            arguments.workers,
            arguments.daemons,
            arguments.rate,
            arguments.forget == "later",
        )
        soak = WorkerSoak(plan)
        soak.run()
        print(f"{plan.mix} seed {seed}: {soak.count_breaches()}; {soak.summary}", flush=True)
        if soak.breaches:
            failed_seeds_count += 1
            lines = [*soak.describe(arguments.show), *map(str, soak.kept_folders)]
            print("\n".join(lines), flush=True)
    print(f"{arguments.seeds - failed_seeds_count} seeds passed, {failed_seeds_count} failed")
    return 1 if failed_seeds_count else 0


if __name__ == "__main__":
    sys.exit(main(parse_arguments()))
