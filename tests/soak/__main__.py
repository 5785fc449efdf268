"""Command line: python -m tests.soak --seeds=10 --first=1 --seconds=20."""

import asyncio

import fire

from tests.soak import soak_run


def main(seeds=1, first=1, seconds=20.0):
    """Runs the soak for each seed in turn and prints the results.

    Args:
        seeds: number of seeds.
        first: the first seed.
        seconds: duration of the faults for each seed.
    """
    failed = 0
    for seed in range(first, first + seeds):
        result = asyncio.run(soak_run.run_seed(seed, seconds))
        state = "failed" if result.problems else "passed"
        failed += bool(result.problems)
        print(
            f"seed {seed} {state}: {result.served} of {result.sent} served,"
            f" {len(result.faults)} faults"
        )
        for problem in result.problems[:10]:
            print(f"  {problem}")
    print(f"{seeds - failed} passed, {failed} failed")


if __name__ == "__main__":
    fire.Fire(main)
