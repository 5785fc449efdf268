"""Router processes, each started, signalled and restarted by its own id."""

import asyncio
import pathlib
import signal
import socket
import sys

import yaml

STOP_TIMEOUT_SECONDS = 9.0
"""A draining process is killed after this time, as on the platform."""


def free_ports(count):
    """Returns loopback ports that are not in use at present."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind(("127.0.0.1", 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


class RouterProcess:
    """One router process; it keeps its VM name and ports over restarts."""

    def __init__(self, folder, vm, store_address):
        self.vm = vm
        callers, readiness, peers, metrics = (
            f"127.0.0.1:{port}" for port in free_ports(4)
        )
        self.address = callers
        self.readiness = readiness
        self._path = pathlib.Path(folder) / f"{vm}.yaml"
        self._log_path = pathlib.Path(folder) / f"{vm}.log"
        self._process = None
        self._restart_lock = asyncio.Lock()
        settings = {
            "vm": vm,
            "failure_domain": "a",
            "listen": {
                "callers": callers,
                "readiness": readiness,
                "peers": peers,
                "metrics": metrics,
            },
            "store": {"address": store_address},
            "bounds": {"revocation_seconds": 2.0},
        }
        self._path.write_text(yaml.safe_dump(settings), encoding="utf-8")

    async def start(self):
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "nutmeglift_platform",
                "serve",
                str(self._path),
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def kill_and_restart(self, pause):
        """Sends SIGKILL and starts the router again after `pause` seconds."""
        async with self._restart_lock:
            await self._kill()
            await asyncio.sleep(pause)
            await self.start()

    async def drain_and_restart(self):
        """Drains and restarts; returns whether the process exited by itself."""
        async with self._restart_lock:
            exited = await self.drain()
            await self.start()
            return exited

    async def _kill(self):
        self.send(signal.SIGKILL)
        await self._process.wait()

    async def drain(self):
        """Sends SIGTERM; returns whether the process exited in time."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            await self._kill()
            return False
        return True

    def log(self):
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(encoding="utf-8")
