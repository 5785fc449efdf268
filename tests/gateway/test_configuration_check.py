"""The check of a configuration before it is sent."""

import copy
import json
import pathlib
import tempfile
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift_gateway import configuration_command
from nutmeglift_platform import command as platform_command
from tests.gateway import test_cli
from tests.gateway import test_platform_schema as schemas
from tests.gateway import test_settings

SOUND = copy.deepcopy(schemas.CONFIG)
FUZZ = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def route(**changes):
    return schemas.ROUTE | changes


def config(**changes):
    return SOUND | changes


def with_engine(**changes):
    engine = schemas.ENGINE | changes
    return config(
        services=[{"name": "s", "engine": engine}, {"name": "t"}],
    )


class CheckTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, value):
        path = self.folder / name
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        path.write_bytes(raw)
        return str(path)

    def check(self, value, *options, name="new"):
        return test_cli.run(
            "check_configuration", self.write(name, value), *options
        )


class CheckTest(CheckTestCase):
    def test_findings(self):
        keys = {"name": "bank", "api_keys": ["k1", "k2"]}
        small = [{"name": "small", "mb": 1700.0}]
        tight = [{"name": "tight", "mb": 1800.0}]
        cases = [
            (SOUND, ""),
            (config(routes=[route(), route(name="q")]), "hidden by routes[1]"),
            (config(routes=[route(), route(prefix="/q/")]), "stands at routes"),
            (config(routes=[route(prefix="/p")]), "begin and end with a slash"),
            (config(routes=[route(host="h:80")]), "no request has this host"),
            (
                config(routes=[route(backends=[{"service": "s"}])]),
                "no route",
            ),
            (config(services=[{"name": "s"}]), 'unknown service "t"'),
            (
                config(
                    routes=[
                        route(
                            backends=[
                                {"service": "s", "weight": 0},
                                {"service": "t", "weight": 0},
                            ]
                        )
                    ]
                ),
                "no service has a weight",
            ),
            (config(routes=[route(timeout_ms=400)]), "below the objective"),
            (config(routes=[route(resumable=False)]), "run at most once"),
            (config(routes=[route(kind="unsafe")]), "only streams"),
            (config(routes=[route(gap_aim_ms=2100)]), "above the stall bound"),
            (config(tenants=[keys | {"api_keys": []}]), "no API key"),
            (
                config(tenants=[keys, {"name": "b", "api_keys": ["k1"]}]),
                "at acc",
            ),
            (config(tenants=[keys | {"api_keys": ["k1", "k1"]}]), "twice"),
            (config(tenants=[keys | {"api_keys": [" k1"]}]), "no request has"),
            (
                config(
                    routes=[route(), route(name="q", prefix="/q/", priority=3)],
                    tenants=[keys | {"priority": 0}],
                ),
                "go before those",
            ),
            (
                config(
                    routes=[route(), route(name="q", prefix="/q/", priority=3)],
                    tenants=[keys | {"priority": 4}],
                ),
                "go behind those",
            ),
            (with_engine(kinds=small), "memory for one layer"),
            (
                with_engine(
                    kinds=tight, usual={"prompt": 9000, "answer": 1000}
                ),
                "usual request of 10000 tokens",
            ),
        ]
        for value, text in cases:
            with self.subTest(text=text):
                code, out, err = self.check(value)
                self.assertEqual((code, err), (1 if text else 0, ""))
                self.assertIn(text, out)
                self.assertEqual(bool(out), bool(text))
                for key in ("k1", "k2"):
                    self.assertNotIn(key, out)

    def test_differences(self):
        bank = SOUND["tenants"][0]
        cases = [
            # the new version, text, whether callers notice
            (config(version=8), "", None),
            (config(version=7), "routers ignore it", False),
            (config(version=8, routes=[]), 'routes "r": taken away', True),
            (
                config(version=8, routes=[route(timeout_ms=900)]),
                "timeout: 20.0 -> 0.9",
                True,
            ),
            (
                config(version=8, tenants=[bank | {"api_keys": ["k1"]}]),
                "taken away",
                True,
            ),
            (
                config(version=8, tenants=[bank | {"name": "other"}]),
                'goes to "other"',
                False,
            ),
            (
                config(version=8, limits={"max_body_bytes": 9}),
                "body_bytes: 4194304 -> 9",
                True,
            ),
        ]
        old = self.write("old", SOUND)
        for value, text, noticed in cases:
            with self.subTest(text=text):
                _, out, _ = self.check(value, f"--against={old}")
                self.assertIn(text, out)
                self.assertNotIn("k1", out)
                lines = [line for line in out.splitlines() if text in line]
                if noticed is None:
                    self.assertEqual(out, "")
                else:
                    self.assertEqual(
                        any("callers notice" in line for line in lines), noticed
                    )

    def test_the_version_in_the_store(self):
        raw = json.dumps(SOUND).encode()
        settings_path = self.write("settings", test_settings.GOOD.encode())
        store = mock.Mock()
        store.get = mock.AsyncMock(
            return_value=kv.KeyValue("op/config", raw, ids.Revision(3))
        )
        with mock.patch.object(platform_command, "open_store", lambda _: store):
            code, out, _ = self.check(
                config(version=8, routes=[]),
                "--stored",
                "--json",
                f"--path={settings_path}",
            )
        self.assertEqual(code, 1)
        (found,) = [f for f in json.loads(out) if f["place"] == 'routes "r"']
        self.assertEqual(
            (found["severity"], found["text"], found["callers_notice"]),
            ("change", "taken away", True),
        )

    def test_what_can_not_be_read(self):
        huge = b" " * (configuration_command.MAX_FILE_BYTES + 1)
        cases = [b"", b"{", b"\xff\xfe", b"[" * 100_000, b"[]", huge]
        cases += [{"version": 1}, config(routes=[route(kind="a\nb")])]
        for value in cases:
            with self.subTest(str(value)[:20]):
                code, out, err = self.check(value)
                self.assertEqual((code, out), (2, ""))
                self.assertEqual(len(err.splitlines()), 1)
        code, _, err = test_cli.run("check_configuration", str(self.folder))
        self.assertEqual((code, len(err.splitlines())), (2, 1))


TEXTS = st.text(max_size=5) | st.sampled_from(["s", "t", "r", "/p/", "a\nb"])
NUMBERS = st.integers(0, 10_000) | st.floats(0, 1e15)
ODD_VALUES: st.SearchStrategy[object] = st.sampled_from(
    [None, True, -1, 2**70, [], {}, "", "\ud800"]
)


def _mutated(draw, value):
    """Replaces, drops or repeats some parts of a JSON value."""
    change = draw(st.integers(0, 12))
    if isinstance(value, dict):
        return {
            key: _mutated(draw, each)
            for key, each in value.items()
            if draw(st.integers(0, 200))
        }
    if isinstance(value, list):
        rows = [_mutated(draw, each) for each in value]
        return rows * 2 if change == 0 else rows
    if change or isinstance(value, bool):
        return value
    if not draw(st.integers(0, 20)):
        return draw(ODD_VALUES)
    return draw(TEXTS if isinstance(value, str) else NUMBERS)


class FuzzTest(CheckTestCase):
    @FUZZ
    @hypothesis.given(st.data())
    def test_any_input_ends_with_findings_or_one_line(self, data):
        if data.draw(st.integers(0, 4)):
            raw = json.dumps(_mutated(data.draw, SOUND)).encode()
        else:
            raw = data.draw(st.binary(max_size=60))
        old = self.write("old", SOUND)
        code, out, err = self.check(raw, f"--against={old}")
        self.assertIn(code, (0, 1, 2))
        self.assertEqual(code == 1, bool(out))
        self.assertEqual(len(err.splitlines()), 1 if code == 2 else 0)


if __name__ == "__main__":
    unittest.main()
