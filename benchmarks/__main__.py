"""Runs the benchmarks and prints one JSON object per line and figure."""

import argparse
import importlib
import json
import pathlib
import pkgutil

import benchmarks
from benchmarks import figures
from benchmarks import report

LATEST_RESULTS_PATH = (
    pathlib.Path(__file__).parent.parent / "docs/measurements/latest.jsonl"
)


def find_figures() -> list[figures.Figure]:
    """Returns the `FIGURES` of all modules whose names start with `bench_`."""
    collected: list[figures.Figure] = []
    for info in pkgutil.iter_modules(benchmarks.__path__):
        if info.name.startswith("bench_"):
            module = importlib.import_module(f"benchmarks.{info.name}")
            collected += module.FIGURES
    return collected


def main() -> None:
    """Measures all figures or the selected one, then writes the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="name of the one figure to measure")
    only = parser.parse_args().only
    line_by_name = read_latest()
    for figure in find_figures():
        if only and figure.name != only:
            continue
        line = figure.to_json_line(figure.run())
        print(line, flush=True)
        line_by_name[figure.name] = line
        write_latest(line_by_name)
    lines = [line_by_name[name] for name in sorted(line_by_name)]
    report.write_table(lines)
    report.write_plots(lines)


def read_latest() -> dict[str, str]:
    """Returns the JSON lines of earlier runs, by figure name."""
    if not LATEST_RESULTS_PATH.exists():
        return {}
    lines = LATEST_RESULTS_PATH.read_text(encoding="utf-8").splitlines()
    return {json.loads(line)["name"]: line for line in lines}


def write_latest(line_by_name: dict[str, str]) -> None:
    """Writes one line per figure, sorted by name."""
    lines = [line_by_name[name] for name in sorted(line_by_name)]
    LATEST_RESULTS_PATH.parent.mkdir(exist_ok=True)
    LATEST_RESULTS_PATH.write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
