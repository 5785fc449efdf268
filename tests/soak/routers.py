"""Router processes, each signalled by its own id and restarted when it ends."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import socket
import sys

import yaml

GRACE_SECONDS = 8.0
"""Time from SIGTERM until the platform kills a process."""
ROTATION_SECONDS = 2.2
"""Two readiness checks, one per second, take a draining router out of
rotation."""
MAX_RESIDENT_BYTES = 300e6
SAMPLE_INTERVAL_SECONDS = 0.1
MIN_WAIT_SECONDS = 0.1
"""Shorter waits for a processor are not recorded."""


def reserve_ports(count):
    """Returns sockets that reserve loopback ports until they are closed.

    A socket that does not listen leaves its port to a listener if both set
    SO_REUSEADDR, and keeps it from other reservations, which don't set it
    before they bind. The kernel assigns ports from 32768 on to outgoing
    connections; one of these might be taken while its router restarts.
    """
    reserved = []
    while len(reserved) < count:
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", random.randint(10000, 32000)))
        except OSError:
            sock.close()
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.append(sock)
    return reserved


def process_status(pid):
    """Returns the kernel's fields on a process; none once it has ended."""
    path = pathlib.Path(f"/proc/{pid}/status")
    try:
        text = path.read_text(encoding="ascii")
    except OSError:
        return {}
    return dict(line.split(":", 1) for line in text.splitlines())


def processor_wait(pid):
    """Returns for how many seconds a process was ready and did not run."""
    path = pathlib.Path(f"/proc/{pid}/schedstat")
    try:
        _, waited_ns, _ = path.read_text(encoding="ascii").split()
    except OSError:
        return 0.0
    return int(waited_ns) / 1e9


@dataclasses.dataclass
class Disruption:
    """A kill or a pause of a router; its end is infinite until it is known."""

    start: float
    end: float = float("inf")


class RouterProcess:
    """One router process; it keeps its VM name and ports over restarts.

    Attributes:
        vm: the router's VM.
        address: address for callers.
        disruptions: kills and pauses so far.
        store_disruptions: times in which the store was disturbed for it.
        started_at: times at which its processes were started.
        signals: times and numbers of all signals sent.
        terminated_at: times of the first SIGTERM of each process.
        waits: times and seconds of waits for a processor.
    """

    def __init__(self, folder, vm, store_address, rng, problems):
        self.vm = vm
        self._reserved = reserve_ports(4)
        callers, readiness, peers, metrics = (
            f"127.0.0.1:{sock.getsockname()[1]}" for sock in self._reserved
        )
        self.address = callers
        self.disruptions = []
        self.store_disruptions = []
        self.started_at = []
        self.signals = []
        self.terminated_at = []
        self.waits = []
        self._rng = rng
        self._problems = problems
        self._path = pathlib.Path(folder) / f"{vm}.yaml"
        self._log_path = pathlib.Path(folder) / f"{vm}.log"
        self._process = None
        self._signals = set()
        self._kill_timer = None
        self._stopping = False
        self._task = None
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
            "bounds": {
                "revocation_seconds": 2.0,
                "shutdown_seconds": GRACE_SECONDS,
            },
        }
        self._path.write_text(yaml.safe_dump(settings), encoding="utf-8")

    async def start(self):
        await self._start_process()
        self._task = asyncio.ensure_future(self._supervise())

    def is_in_rotation(self):
        """Returns whether the platform sends new connections to it."""
        return (
            signal.SIGTERM not in self._signals
            or self._now() < self.terminated_at[-1] + ROTATION_SECONDS
        )

    def _runs_program(self):
        """Returns whether the interpreter has begun to run the program.

        Before that, no program can prevent that SIGHUP ends its process.
        """
        status = process_status(self._process.pid)
        handled = int(status.get("SigIgn", "0"), 16)
        handled |= int(status.get("SigCgt", "0"), 16)
        return bool(handled & 1 << signal.SIGHUP - 1)

    def send(self, number):
        """Sends a signal; SIGTERM starts the grace period."""
        if self._process.returncode is not None:
            return
        if number is signal.SIGHUP and not self._runs_program():
            return
        if number is signal.SIGTERM and number not in self._signals:
            self.terminated_at.append(self._now())
            self._kill_timer = asyncio.get_running_loop().call_later(
                GRACE_SECONDS, self._kill_late
            )
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.disruptions.append(Disruption(self._now()))
        if number is signal.SIGCONT:
            self._end_disruptions()
        self._signals.add(number)
        self.signals.append((self._now(), number))
        self._process.send_signal(number)

    async def wait_started_again(self):
        """Waits for the next process; returns whether one was started."""
        count = len(self.started_at)
        try:
            async with asyncio.timeout(GRACE_SECONDS + 2.0):
                while len(self.started_at) == count:  # noqa: ASYNC110
                    await asyncio.sleep(SAMPLE_INTERVAL_SECONDS / 5)
        except TimeoutError:
            return False
        return True

    def peak_resident_bytes(self):
        """Returns the most memory that its process had at any time."""
        peak = process_status(self._process.pid).get("VmHWM", "0 kB")
        return int(peak.split()[0]) * 1024

    async def stop(self):
        """Sends SIGTERM and waits until the process has ended."""
        self._stopping = True
        self.send(signal.SIGTERM)
        await self._task
        for sock in self._reserved:
            sock.close()

    def log(self):
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    async def _supervise(self):
        while True:
            await self._wait()
            if self._kill_timer is not None:
                self._kill_timer.cancel()
                self._kill_timer = None
            if not self._signals & {signal.SIGKILL, signal.SIGTERM}:
                self._problems.append(
                    f"exited by itself: {self.vm} with"
                    f" {self._process.returncode} at {self._now():.2f}"
                )
            if not self._stopping:
                await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            if self._stopping:
                return
            await self._start_process()
            self._end_disruptions()
            if self._stopping:
                self.send(signal.SIGTERM)

    async def _wait(self):
        """Waits for the end of the process; samples its memory and waits."""
        ended = asyncio.ensure_future(self._process.wait())
        has_exceeded = False
        waited = 0.0
        while not ended.done():
            await asyncio.wait([ended], timeout=SAMPLE_INTERVAL_SECONDS)
            waited_before = waited
            waited = processor_wait(self._process.pid)
            if waited - waited_before > MIN_WAIT_SECONDS:
                self.waits.append((self._now(), waited - waited_before))
            resident = self._resident_bytes()
            if resident > MAX_RESIDENT_BYTES and not has_exceeded:
                has_exceeded = True
                self._problems.append(
                    f"too much memory: {self.vm} uses"
                    f" {resident / 1e6:.0f} MB at {self._now():.2f}"
                )

    def _resident_bytes(self):
        resident = process_status(self._process.pid).get("VmRSS", "0 kB")
        return int(resident.split()[0]) * 1024

    async def _start_process(self):
        self._signals = set()
        self.started_at.append(self._now())
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

    def _kill_late(self):
        last = self.disruptions[-1] if self.disruptions else None
        if last is None or last.end < self.terminated_at[-1]:
            self._problems.append(
                f"no exit after SIGTERM: {self.vm} at {self._now():.2f}"
            )
        self.disruptions.append(Disruption(self._now()))
        self._process.send_signal(signal.SIGKILL)

    def _end_disruptions(self):
        for disruption in self.disruptions:
            disruption.end = min(disruption.end, self._now())

    @staticmethod
    def _now():
        return asyncio.get_running_loop().time()
