"""Test case whose event loop runs in virtual time, with real sockets."""

import asyncio
from collections.abc import Callable
from typing import ClassVar
import unittest
from unittest import mock

from nutmeglift_gateway import freshness
from tests import virtual_time


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose results don't depend on the speed of the machine.

    Attributes:
        loop_factory: function that returns the event loop.
    """

    loop_factory: ClassVar[Callable[[], asyncio.AbstractEventLoop]] = (
        virtual_time.LoopbackTimeLoop
    )

    def setUp(self):
        loop = self._asyncioRunner.get_loop()
        patch = mock.patch.object(freshness, "boot_clock", loop.time)
        patch.start()
        self.addCleanup(patch.stop)

    def _setupAsyncioRunner(self):
        assert self._asyncioRunner is None
        self._asyncioRunner = asyncio.Runner(
            debug=True, loop_factory=self.loop_factory
        )
