"""Runs the randomized fault soak for a number of seeds: `run_soak.py FIRST COUNT [SECONDS]`."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "features" / "steps"))

from soak import Soak  # noqa: E402


def main(first: int, count: int, seconds: float = 10.0) -> int:
    """Run seeds one after the other and return the number of those that broke a promise."""
    failed = 0
    for seed in range(first, first + count):
        soak = Soak(seed, seconds)
        soak.run()
        told = f"{len(soak.accepted_s)} accepted, {len(soak.refused)} refused"
        print(f"seed {seed}: {told}, {len(soak.violations)} violations", flush=True)
        if soak.violations:
            failed += 1
            print("\n".join([*soak.events, *soak.violations[:10]]), flush=True)
    print(f"{count - failed} seeds passed, {failed} seeds failed")
    return failed


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]), *map(float, sys.argv[3:4]))))
