"""Runs the soak test with random faults for a range of seeds.

Usage: `run_soak.py FIRST_SEED SEEDS_COUNT [SECONDS_PER_SEED]`.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "features" / "steps"))

from soak import Soak  # noqa: E402


def main(first: int, count: int, duration_s: float = 10.0) -> int:
    """Run the soak test with each seed in turn.

    Args:
        first: first seed.
        count: number of seeds.
        duration_s: length of the load of each run in seconds.

    Returns:
        The number of seeds with violations.
    """
    failed_seeds_count = 0
    for seed in range(first, first + count):
        soak = Soak(seed, duration_s)
        soak.run()
        summary = f"{len(soak.accepted_s)} accepted, {len(soak.refused)} refused"
        print(f"seed {seed}: {summary}, {len(soak.violations)} violations", flush=True)
        if soak.violations:
            failed_seeds_count += 1
            print(
                "\n".join([*soak.events, *soak.violations[:10], *map(str, soak.kept_folders)]),
                flush=True,
            )
    print(f"{count - failed_seeds_count} seeds passed, {failed_seeds_count} seeds failed")
    return failed_seeds_count


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]), *map(float, sys.argv[3:4]))))
