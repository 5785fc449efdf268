"""One entry without a field, at a sound runner's address, refuses all streams.

The entry is written by another writer as all routers are killed for the last
time. It has no field `slots`, so it names no runner to use.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins  # noqa: E402

PER_SECOND = 10
BEFORE_SECONDS = 4.0
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
MARGIN_SECONDS = 0.5
AFTER_SECONDS = 10.0
SERVED_SHARE = 0.25
EVENT_COUNT = 5
KEY = "servers/i-other"


async def send(record, router, request_id):
    """Sends one request; returns whether its whole stream came."""
    try:
        reader, writer = await stand_ins.connect(router.front)
    except (OSError, TimeoutError):
        record.write(f"client: {request_id} gets no channel")
        return False
    record.write(f"client: sends {request_id} to {router.name}")
    writer.write(stand_ins.stream_request(request_id))
    status, body, is_complete = await stand_ins.read_stream(reader)
    writer.close()
    events = body.count(b"id: ")
    record.write(f"client: {request_id} gets {status} and {events} events")
    return status == 200 and is_complete and events == EVENT_COUNT


async def load(record, routers, name, seconds):
    """Sends requests to the routers in turn.

    Returns:
        How many were sent, and how many of them were served.
    """
    tasks = []
    for number in range(int(seconds * PER_SECOND)):
        router = routers[number % len(routers)]
        tasks.append(
            asyncio.create_task(send(record, router, f"{name}{number:03d}"))
        )
        await asyncio.sleep(1.0 / PER_SECOND)
    served = sum(await asyncio.gather(*tasks))
    record.write(f"client: {served} of {len(tasks)} are served")
    return len(tasks), served


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
        await runner.start()
        ends.append(asyncio.create_task(runner.beat()).cancel)
    routers = [
        stand_ins.Router(record, store, f"front-{number}", folder)
        for number in (1, 2, 3, 4)
    ]
    ends += [router.end for router in routers]
    await asyncio.gather(*(router.start() for router in routers))
    await asyncio.sleep(3.0)
    sent, served = await load(record, routers, "b", BEFORE_SECONDS)
    if served < SERVED_SHARE * sent:
        raise stand_ins.CannotRunError("too few are served before the fault")

    for router in routers:
        router.signal(signal.SIGKILL)
    if trouble:
        entry = runners[0].entry("ready")
        layers = {"from": 0, "target": 8, "version": 1}
        entry = {k: v for k, v in entry.items() if k != "slots"}
        record.write(f"another writer: {KEY} {entry | {'layers': layers}}")
        store.put(KEY, entry | {"layers": layers})
    await asyncio.gather(*(router.process.wait() for router in routers))
    await asyncio.sleep(DOWN_SECONDS)
    await asyncio.gather(*(router.start(wait=False) for router in routers))
    back_at = time.monotonic()
    record.write("the machines are back")
    await asyncio.gather(*(router.wait_ready() for router in routers))
    wait = back_at + RECOVERY_SECONDS + MARGIN_SECONDS - time.monotonic()
    await asyncio.sleep(wait)
    sent, served = await load(record, routers, "a", AFTER_SECONDS)
    if served >= SERVED_SHARE * sent:
        return []
    return [
        f"of {sent} requests that were sent later than {RECOVERY_SECONDS:g} s"
        f" after the machines were back, {served} were served"
    ]


stand_ins.play(pathlib.Path(__file__).resolve().parent, case)
