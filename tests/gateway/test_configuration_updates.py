"""Configurations that follow each other quickly, or can't be decoded."""

import asyncio
import unittest

from tests.gateway import rig
from tests.gateway import test_controllers


class CountingSchema(rig.MemorySchema):
    """Records the configurations that are decoded."""

    def __init__(self):
        super().__init__()
        self.decoded = []

    def decode_catalog(self, entry):
        self.decoded.append(entry.value)
        return super().decode_catalog(entry)


# Name, values written within one interval of the watch (generations, or
# undecodable bytes), generation in force afterwards, and values decoded.
CASES = [
    ("one", [b"8"], 8, [b"8"]),
    ("several", [b"8", b"9", b"12"], 12, [b"12"]),
    ("several, the newest undecodable", [b"8", b"9", b"?"], 9, [b"?", b"9"]),
    ("undecodable ones between", [b"?", b"8", b"??", b"9"], 9, [b"9"]),
    ("only undecodable", [b"?", b"??"], 7, [b"??", b"?"]),
    ("older generations", [b"3", b"5"], 7, [b"5", b"3"]),
    ("an older generation after a newer one", [b"8", b"5"], 8, [b"5", b"8"]),
    ("the same twice", [b"8", b"8"], 8, [b"8"]),
]


class ConfigurationUpdateTest(unittest.TestCase):
    def update(self, values):
        """Writes values within one interval.

        Returns:
            The generation in force and the values decoded, both after 0.5 s,
            and the number of values decoded in the 20 s after that.
        """
        result = []

        async def scenario(deployment):
            schema = deployment.schema = CountingSchema()
            for generation in range(1, 20):
                schema.by_value[b"%d" % generation] = rig.make_catalog(
                    generation
                )
            await deployment.put(test_controllers.CATALOG_KEY, b"7")
            router = test_controllers.Router(deployment, "one")
            await asyncio.sleep(1.0)
            # The watch that returns this change is called again 0.15 s later.
            await deployment.put_server("s")
            await asyncio.sleep(0.01)
            schema.decoded.clear()
            for value in values:
                await deployment.put(test_controllers.CATALOG_KEY, value)
            await asyncio.sleep(0.5)
            decoded = list(schema.decoded)
            await asyncio.sleep(20.0)
            result.append(
                (
                    int(router.board.catalog.generation),
                    decoded,
                    len(schema.decoded) - len(decoded),
                )
            )

        test_controllers.run_scenario(scenario)
        return result[0]

    def test_only_the_newest_decodable_configuration_is_decoded_once(self):
        for name, values, generation, decoded in CASES:
            with self.subTest(name):
                self.assertEqual(self.update(values), (generation, decoded, 0))

    def test_an_undecodable_configuration_is_decoded_once(self):
        async def scenario(deployment):
            schema = deployment.schema = CountingSchema()
            router = test_controllers.Router(deployment, "one")
            entry = rig.make_entry(test_controllers.CATALOG_KEY, b"?", 9)
            for _ in range(3):
                router.reader.view.catalog.apply(entry)
            self.assertEqual(schema.decoded, [b"?"])

        test_controllers.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
