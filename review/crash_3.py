"""A server crashes while it sends an answer that has no length.

Usage: crash_3.py RECORD KIND

KIND is stream or plain. Of 20 requests, one is answered without a length; the
server that answers it is killed once it has sent 15 of its 40 pieces. Without
the disruption (TROUBLE=0) none is killed. Exits with 1 if a client gets an
answer that looks complete without all pieces, with 0 if none does, and with 2
if the case could not run.
"""

import asyncio
import os
import sys

import server_3
import stand_ins_3

REQUESTS = 20
SERVERS = 7
KILL_AFTER_PIECES = 15
ROUTE = {
    "stream": {
        "name": "doc-check",
        "prefix": "/doc/",
        "kind": "streaming",
        "timeout_ms": 20000,
        "target_latency_ms": 500,
        "gap_aim_ms": 250,
        "priority": 1,
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
    },
    "plain": {
        "name": "pay-release",
        "prefix": "/pay/",
        "kind": "unsafe",
        "timeout_ms": 10000,
        "target_latency_ms": 200,
        "priority": 2,
        "max_attempts": 1,
    },
}
SERVICE = {
    "stream": {
        "name": "model",
        "health_path": "/health",
        "engine": stand_ins_3.ENGINE,
    },
    "plain": {"name": "core", "health_path": "/health"},
}


def count_pieces(answer, request_id):
    """Returns how many pieces an answer has, and whether they are in order."""
    numbers = [
        int(line.split()[-3])
        for line in answer.body.decode("latin-1").splitlines()
        if f"{request_id} piece " in line
    ]
    return len(numbers), numbers == list(range(1, len(numbers) + 1))


async def send(deployment, kind, request_id):
    headers = {
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "10000",
        "X-Api-Key": stand_ins_3.KEY,
    }
    if kind == "stream":
        headers |= {
            "X-Model": "m",
            "X-Token-Usage": "800,160",
            "X-Prompt-Prefix": f"5c1e07a2:40,{request_id.encode().hex()}:760",
        }
    prefix = ROUTE[kind]["prefix"]
    deployment.record.write("sent", request_id)
    return await stand_ins_3.call(
        deployment.callers, "POST", f"{prefix}x", headers, b"terms"
    )


async def crash(deployment, request_id):
    """Kills the server that answers a request, midway."""
    while deployment.count_by_run.get(request_id, 0) < KILL_AFTER_PIECES:
        await asyncio.sleep(0.005)
    deployment.kill(deployment.server_by_run[request_id])


async def play(deployment, kind):
    """Returns whether the rule was broken; None if the case could not run."""
    unframed_id = "r13"
    is_ready = await deployment.start(
        stand_ins_3.configuration(ROUTE[kind], SERVICE[kind]),
        [f"i-{number}" for number in range(SERVERS)],
        "runner" if kind == "stream" else "plain",
        unframed_id,
    )
    if not is_ready:
        deployment.record.write("the router did not become ready")
        return None
    # The runners get their layers.
    await asyncio.sleep(4 if kind == "stream" else 1)
    killer = None
    if os.environ.get("TROUBLE") != "0":
        killer = asyncio.create_task(crash(deployment, unframed_id))
    ids = [f"r{number}" for number in range(REQUESTS)]
    calls = []
    for request_id in ids:
        calls.append(asyncio.create_task(send(deployment, kind, request_id)))
        await asyncio.sleep(0.02)
    answers = await asyncio.gather(*calls)
    await asyncio.sleep(0.5)
    broken = False
    for request_id, answer in zip(ids, answers, strict=True):
        if answer is None:
            deployment.record.write("answer", request_id, "none")
            continue
        count, in_order = count_pieces(answer, request_id)
        deployment.record.write(
            "answer",
            request_id,
            answer.status,
            "complete" if answer.complete else "cut",
            f"{count} of {server_3.PIECES} pieces",
            "in order" if in_order else "NOT IN ORDER",
            {
                name: value
                for name, value in answer.headers.items()
                if name in ("content-length", "transfer-encoding")
            },
        )
        if (
            answer.status == 200
            and answer.complete
            and (count < server_3.PIECES or not in_order)
        ):
            deployment.record.write("BROKEN:", request_id, "looks complete")
            broken = True
    deployment.router_says('"crashed"')
    if killer is not None and not killer.done():
        killer.cancel()
        deployment.record.write("no server was killed")
        return None
    if unframed_id not in deployment.server_by_run:
        deployment.record.write("the answer without a length was not given")
        return None
    return broken


async def main(record_path, kind):
    record = stand_ins_3.Record(record_path)
    deployment = stand_ins_3.Deployment(record)
    try:
        async with asyncio.timeout(90):
            broken = await play(deployment, kind)
    except (TimeoutError, OSError) as error:
        record.write("the case could not run:", repr(error))
        broken = None
    finally:
        await deployment.stop()
    record.write({None: "could not run", True: "broken", False: "held"}[broken])
    return {None: 2, True: 1, False: 0}[broken]


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2])))
