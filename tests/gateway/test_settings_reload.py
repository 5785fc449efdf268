import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

from nutmeglift import errors
from nutmeglift_gateway import settings
from nutmeglift_gateway import settings_reload
from nutmeglift_gateway import settings_source
from tests.gateway import rig
from tests.gateway import test_settings
from tests.gateway import virtual_time_case

OLD = test_settings.GOOD
NEW = OLD.replace("shutdown_seconds: 8", "shutdown_seconds: 25")


class LoadSettledTest(unittest.IsolatedAsyncioTestCase):
    """Each read of the file finds the next of several texts."""

    async def load(self, texts):
        left = list(texts)

        def load():
            text = left.pop(0) if len(left) > 1 else left[0]
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "settings.yaml"
                path.write_text(text, encoding="utf-8")
                return settings.load(path)

        with mock.patch.object(settings_reload, "SETTLE_SECONDS", 0.0):
            return await settings_reload.load_settled(load)

    async def test_what_is_loaded(self):
        # Without its last bytes, the file is valid and has other bounds.
        partial = [NEW[: NEW.index("bounds")], NEW[: NEW.index("5\n")]]
        cases = [
            ("unchanged", [OLD]),
            ("changed", [NEW]),
            ("changed late", [OLD, NEW]),
            ("empty at first", ["", "", NEW]),
            ("without bounds at first", [partial[0], NEW]),
            ("with a part of a number at first", [partial[1], NEW]),
            ("written in steps", ["", *partial, NEW]),
        ]
        for name, texts in cases:
            with self.subTest(name):
                loaded = await self.load(texts)
                expected = 8.0 if texts[-1] == OLD else 25.0
                self.assertEqual(loaded.bounds.shutdown_seconds, expected)

    async def test_what_is_not_loaded(self):
        flapping = [OLD, NEW] * settings_reload.MAX_READ_COUNT
        cases = [("invalid", ["["], ""), ("changing", flapping, "changing")]
        for name, texts, detail in cases:
            with (
                self.subTest(name),
                self.assertRaisesRegex(errors.SettingsError, detail),
            ):
                await self.load(texts)

    async def test_it_gives_way_between_two_reads(self):
        task = asyncio.ensure_future(self.load(["["]))
        await asyncio.sleep(0)
        self.assertFalse(task.done())
        task.cancel()
        await asyncio.wait([task])


class SettingsReloaderTest(virtual_time_case.VirtualTimeTestCase):
    """The file changes without a signal."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.yaml"
        self.write(OLD)
        self.log = rig.MemoryLog()
        self.applied = []
        source = settings_source.FileSettings(self.path)
        source.load()
        reloader = settings_reload.SettingsReloader(
            source, self.apply, self.log
        )
        task = asyncio.ensure_future(reloader.run())
        self.addCleanup(task.cancel)

    def apply(self, found):
        self.applied.append(found.bounds.shutdown_seconds)
        return True

    def write(self, text):
        self.path.write_text(text, encoding="utf-8")

    def replace(self, text):
        new = self.path.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.path)

    async def wait(self):
        reads = settings_reload.MAX_READ_COUNT * settings_reload.SETTLE_SECONDS
        await asyncio.sleep(settings_reload.CHECK_INTERVAL_SECONDS + reads + 1)

    async def test_changes_are_read_once(self):
        cases = [
            ("none", lambda: None, []),
            ("replaced", lambda: self.replace(NEW), [25.0]),
            ("written", lambda: self.write(OLD), [8.0]),
            ("same size", lambda: self.write(OLD.replace("8\n", "9\n")), [9.0]),
            ("removed", self.path.unlink, []),
            ("written again", lambda: self.replace(OLD), [8.0]),
        ]
        for name, change, expected in cases:
            with self.subTest(name):
                self.applied.clear()
                change()
                await self.wait()
                self.assertEqual(self.applied, expected)
                await self.wait()
                self.assertEqual(self.applied, expected)

    async def test_a_half_written_file_is_logged_once(self):
        self.write(NEW[: NEW.index("callers")])
        for _ in range(5):
            await self.wait()
        self.assertEqual(self.log.events(), ["settings not reloaded"])
        self.write(NEW)
        await self.wait()
        self.assertEqual(self.applied, [25.0])


if __name__ == "__main__":
    unittest.main()
