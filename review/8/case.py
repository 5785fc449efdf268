"""A router gets SIGTERM while it starts; streams sent 3 s later are cut off.

Of five routers, two of the three in one zone are stopped at the same time and
start again. With the disruption they are stopped once more as they start.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins  # noqa: E402

GRACE_SECONDS = 8.0
RESTART_DELAY_SECONDS = 0.5
EXCUSED_SECONDS = 3.0
"""What is sent later than this after SIGTERM may not be cut off at all."""
LATE_SECONDS = GRACE_SECONDS * 5 / 6
"""What is sent sooner may be cut off from then on, as its server works on."""
FIRST_SENT_SECONDS = 3.01
LAST_SENT_SECONDS = 3.30
INTERVAL_SECONDS = 0.01
EVENT_COUNT = 30
EVENT_SECONDS = 0.2
"""Below the route's gap_aim_ms; a stream lasts 6 s, its deadline is 20 s."""


class Stream:
    """One request of a client, and what came of it."""

    def __init__(self, request_id, router):
        self.request_id = request_id
        self.router = router
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.events = 0
        self.is_complete = False


class Round:
    """Stops routers together and starts them again, as the platform does."""

    def __init__(self, record, routers):
        self._record = record
        self._routers = routers
        self.signalled_at = {}

    def stop(self):
        """Sends SIGTERM; the platform would send SIGKILL after the grace."""
        for router in self._routers:
            router.signal(signal.SIGTERM)
            self.signalled_at[router.name] = time.monotonic()

    async def start_again(self):
        """Starts the routers once they have exited, until they listen."""
        async with asyncio.timeout(GRACE_SECONDS):
            for router in self._routers:
                await router.process.wait()
                self._record.write(f"{router.name}: exited")
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        for router in self._routers:
            await router.start(wait=False)
        await asyncio.gather(*(r.wait_open() for r in self._routers))


async def send(record, stream):
    """Sends one request and reads its answer."""
    try:
        reader, writer = await stand_ins.connect(stream.router.front)
    except (OSError, TimeoutError):
        record.write(f"client: {stream.request_id} gets no channel")
        return
    stream.sent_at = time.monotonic()
    writer.write(stand_ins.stream_request(stream.request_id))
    record.write(f"client: sends {stream.request_id} to {stream.router.name}")
    status, body, stream.is_complete = await stand_ins.read_stream(reader)
    writer.close()
    stream.ended_at = time.monotonic()
    stream.events = body.count(b"id: ")
    record.write(
        f"client: {stream.request_id} ends: status {status},"
        f" {stream.events} events,"
        f" {'complete' if stream.is_complete else 'cut off'}"
    )


def is_excused(sent_after, ended_after):
    """Returns whether the rule allows that a stream is cut off."""
    return sent_after <= EXCUSED_SECONDS and ended_after >= LATE_SECONDS


async def case(record, folder, ends, trouble):
    store = stand_ins.Store(record)
    await store.start()
    ends.append(store.stop)
    store.put(
        "op/config",
        stand_ins.configuration(
            7,
            [stand_ins.stream_route("draft")],
            [stand_ins.ENGINE_SERVICE],
        ),
    )
    runners = [
        stand_ins.Runner(record, store, f"i-{number}", "model")
        for number in (1, 2)
    ]
    for runner in runners:
        runner.event_count = EVENT_COUNT
        runner.event_seconds = EVENT_SECONDS
        await runner.start()
    routers = [
        stand_ins.Router(record, store, f"front-{zone}-{number}", folder, zone)
        for zone, number in (("a", 1), ("a", 2), ("a", 3), ("b", 1), ("b", 2))
    ]
    ends += [router.end for router in routers]
    await asyncio.gather(*(router.start() for router in routers))
    ingress = stand_ins.Ingress(record, routers[:3])
    ingress.start()
    ends.append(ingress.stop)
    await asyncio.sleep(3.0)

    stopped = routers[:2]
    planned = Round(record, stopped)
    planned.stop()
    await planned.start_again()
    began = time.monotonic()
    if trouble:
        planned.stop()

    streams, tasks = [], []
    at = FIRST_SENT_SECONDS
    while at <= LAST_SENT_SECONDS:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        used = ingress.used()
        router = used[len(streams) % len(used)]
        streams.append(Stream(f"s{len(streams):03d}", router))
        tasks.append(asyncio.create_task(send(record, streams[-1])))
        at += INTERVAL_SECONDS
    if trouble and not any(each.router in stopped for each in streams):
        raise stand_ins.CannotRunError("the ingress used other routers only")
    await asyncio.gather(*tasks)

    broken = []
    for each in streams:
        has_run = any(each.request_id in runner.runs for runner in runners)
        signalled_at = planned.signalled_at.get(each.router.name, float("-inf"))
        sent_after = each.sent_at - signalled_at
        ended_after = each.ended_at - signalled_at
        if (
            has_run
            and not each.is_complete
            and sent_after < GRACE_SECONDS + 1.0
            and not is_excused(sent_after, ended_after)
        ):
            broken.append(
                f"{each.request_id}, sent to {each.router.name}"
                f" {sent_after:.3f} s after its SIGTERM, was passed on, and cut"
                f" off after {each.events} of {EVENT_COUNT} events,"
                f" {ended_after:.3f} s after the SIGTERM"
            )
    return broken


stand_ins.play(pathlib.Path(__file__).resolve().parent, case)
