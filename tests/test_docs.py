"""Checks the documentation pages against the code."""

import pathlib
import re
import unittest

from benchmarks import __main__ as benchmarks
from nutmeglift import errors

ROOT = pathlib.Path(__file__).parent.parent
OPERATIONS = ROOT / "docs" / "operations"
METRIC = re.compile(
    r'\b(?:count|gauge|time)\(\s*f?"([a-z_]+\.[a-z_.{}]+)"', re.MULTILINE
)
PACKAGES = ("nutmeglift_agent", "nutmeglift_router", "nutmeglift_wire")


class DocsTest(unittest.TestCase):
    def test_every_metric_is_documented(self):
        page = (OPERATIONS / "metrics.md").read_text(encoding="utf-8")
        names = {
            name
            for package in PACKAGES
            for path in (ROOT / "packages" / package).rglob("*.py")
            for name in METRIC.findall(path.read_text(encoding="utf-8"))
        }
        self.assertGreater(len(names), 80)
        missing = sorted(name for name in names if f"`{name}`" not in page)
        self.assertEqual(missing, [])

    def test_relative_links_resolve(self):
        broken = []
        for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
            text = page.read_text(encoding="utf-8")
            for target in re.findall(r"\]\(([^)#:]+)\)", text):
                if not (page.parent / target).exists():
                    broken.append(f"{page.name}: {target}")
        self.assertEqual(broken, [])

    def test_benchmark_figures_named_in_commands_exist(self):
        figures = {figure.name for figure in benchmarks.find_figures()}
        unknown = []
        for page in (ROOT / "docs").rglob("*.md"):
            text = page.read_text(encoding="utf-8")
            for name in re.findall(r"ONLY=([a-z0-9_]+)", text):
                if name not in figures:
                    unknown.append(f"{page.name}: {name}")
        self.assertEqual(unknown, [])

    def test_every_error_kind_is_documented(self):
        page = (OPERATIONS / "errors.md").read_text(encoding="utf-8")
        for kind, answer in errors.ANSWER_BY_KIND.items():
            row = (
                f"| `{kind.value}` | {answer.status} | `{answer.ran.value}` |"
                f" {'yes' if answer.retryable else 'no'} |"
            )
            with self.subTest(kind):
                self.assertIn(row, page)


if __name__ == "__main__":
    unittest.main()
