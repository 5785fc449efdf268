"""Writes the dated table of all figures and plots of the sized ones."""

import collections
import datetime
import json
import os
import pathlib
import platform
import re

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

MEASUREMENTS_DIRECTORY = (
    pathlib.Path(__file__).parent.parent / "docs/measurements"
)
SIZED_NAME_PATTERN = re.compile(r"^(.*)_(\d+)(?:_(outage))?$")
BYTES_PER_GIB = 1024**3


def describe_machine() -> str:
    """Returns a one-line description of the machine, without its host name."""
    memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return (
        f"{os.cpu_count()} cores, {memory_bytes / BYTES_PER_GIB:.0f} GiB,"
        f" {platform.system()} {platform.machine()},"
        f" Python {platform.python_version()}"
    )


def write_table(lines: list[str]) -> None:
    """Writes the figures as a dated Markdown table.

    Args:
        lines: one JSON object per figure.
    """
    today = datetime.datetime.now(datetime.UTC).date().isoformat()
    rows = [
        "| figure | value | unit | goal | baseline |",
        "| --- | --- | --- | --- | --- |",
    ]
    for line in lines:
        result = json.loads(line)
        baseline = result["baseline"]
        baseline_text = "" if baseline is None else f"{baseline:.4g}"
        rows.append(
            f"| `{result['name']}` | {result['value']:.4g} | {result['unit']}"
            f" | {result['goal']} | {baseline_text} |"
        )
    text = (
        f"# Figures\n\nWritten {today} by `make bench` on {describe_machine()}."
        " Each by `make bench ONLY=<figure>`; a figure stands as its last run"
        " gave it.\n\n" + "\n".join(rows) + "\n"
    )
    (MEASUREMENTS_DIRECTORY / "table.md").write_text(text, encoding="utf-8")


def write_plots(lines: list[str]) -> None:
    """Plots every figure that was measured at three or more sizes."""
    points_by_series: dict[str, list[tuple[int, float]]] = (
        collections.defaultdict(list)
    )
    unit_by_series: dict[str, str] = {}
    for line in lines:
        result = json.loads(line)
        match = SIZED_NAME_PATTERN.match(result["name"])
        if match is None:
            continue
        series = "_".join(part for part in match.group(1, 3) if part)
        point = (int(match.group(2)), result["value"])
        points_by_series[series].append(point)
        unit_by_series[series] = result["unit"]
    for series, points in points_by_series.items():
        if len(points) >= 3:  # noqa: PLR2004
            _plot(series, sorted(points), unit_by_series[series])


def _plot(series: str, points: list[tuple[int, float]], unit: str) -> None:
    figure, axes = pyplot.subplots(figsize=(5, 3))
    axes.plot([x for x, _ in points], [y for _, y in points], marker="o")
    axes.set_xscale("log")
    axes.set_ylim(bottom=0)
    axes.set_xlabel("size")
    axes.set_ylabel(unit)
    axes.set_title(series)
    figure.tight_layout()
    matplotlib.rcParams["svg.hashsalt"] = "nutmeglift"
    path = MEASUREMENTS_DIRECTORY / f"{series}.svg"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
