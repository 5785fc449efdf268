"""Demo: a full deployment, one chat answer, one stage failure, one release."""

import asyncio
import json
import pathlib
import random
import time
from typing import Any

import aiosonic

from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift import tokenizer
from nutmeglift_fakes import deployment
from nutmeglift_fakes import toy_engine
from nutmeglift_router import http_app
from nutmeglift_router import operator_client
from nutmeglift_router import router as routers
from nutmeglift_wire import clock
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import http_client
from nutmeglift_wire import http_server
from nutmeglift_wire import metrics
from nutmeglift_wire import vm_list
from nutmeglift_wire import websocket_link

TOKEN = "demo-token"
HTTP_OK = 200
FAILURE_DOMAINS = ("luzon-1", "luzon-2", "luzon-3")
BACKEND_CLASSES = ("accelerator-large", "accelerator-small")
STAGE_COUNT = 3
MAX_TOKENS = 48
KILL_AFTER_TOKENS = 16
READY_TIMEOUT_SECONDS = 20.0
PROMPT = "Summarise amendment 2 of credit SDT-1187, desiccated coconut."


def example_directory() -> pathlib.Path:
    """Returns the directory of the demo's declaration.

    Raises:
        errors.UsageError: the demo does not run in a source checkout.
    """
    for parent in pathlib.Path(__file__).resolve().parents:
        found = parent / "examples" / "demo"
        if found.is_dir():
            return found
    raise errors.UsageError("the demo needs examples/demo of a source checkout")


async def _start_agents(
    deployed: deployment.Deployment, declared: declaration.Declaration
) -> None:
    rate_by_class = {
        c.id: c.layer_positions_per_second for c in declared.backend_classes
    }
    for index in range(2 * STAGE_COUNT):
        backend_class = BACKEND_CLASSES[index // STAGE_COUNT]
        await deployed.add_runner(
            ids.VmId(f"runner-{index + 1}"),
            ids.FailureDomain(FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]),
            backend_class,
            layers=declared.models[0].layers,
            layer_positions_per_second=rate_by_class[backend_class],
        )
    await deployed.add_service(
        ids.VmId("core-1"),
        ids.FailureDomain(FAILURE_DOMAINS[0]),
        "core-application",
    )


def _make_router(platform: settings.Platform) -> routers.Router:
    return routers.Router(
        settings.RouterSettings(
            vm=ids.VmId("entry-1"),
            listen=deployment.ANY_PORT,
            http=deployment.ANY_PORT,
            failure_domain=ids.FailureDomain(FAILURE_DOMAINS[0]),
            platform=platform,
            shared_key=deployment.SHARED_KEY,
        ),
        incarnation=ids.Incarnation("entry-1-1"),
        clock=clock.LoopClock(),
        rng=random.Random(1),
        store=etcd_kv.EtcdKv(platform.key_value, platform.timeout_seconds),
        vms=vm_list.HttpVmList(platform.vm_list, platform.timeout_seconds),
        dialer=websocket_link.WebsocketDialer(),
        metrics=metrics.NoMetrics(),
    )


class Demo:
    """Runs the steps of the demo against one router."""

    def __init__(self, deployed: deployment.Deployment, address: str) -> None:
        self._deployed = deployed
        self._address = address
        self._client = http_client.make(8)
        self._headers = {"authorization": f"Bearer {TOKEN}"}

    async def run(self, router: routers.Router) -> bool:
        """Runs all steps.

        Returns:
            Whether all steps produced the expected results.
        """
        await self._wait_until_ready(router)
        answer_ok = await self._stream_answer(router)
        release_ok = await self._release_twice()
        await self._client.aclose()
        return answer_ok and release_ok

    async def _wait_until_ready(self, router: routers.Router) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        expected_agents = len(self._deployed.agent_by_vm)
        while time.monotonic() < deadline:
            configured = router.configuration.generation > 0
            if configured and router.membership.usable_count == expected_agents:
                print(f"{expected_agents} backend servers are live")
                return
            await asyncio.sleep(0.05)
        raise errors.NutmegError("the backend servers did not become live")

    async def _stream_answer(self, router: routers.Router) -> bool:
        print(f"> {PROMPT}")
        response = await self._post(
            "/v1/chat/completions",
            {
                "model": "letters",
                "stream": True,
                "max_tokens": MAX_TOKENS,
                "messages": [{"role": "user", "content": PROMPT}],
            },
        )
        if response.status_code != HTTP_OK:
            print(f"refused: {await response.text()}")
            return False
        texts: list[str] = []
        async for event in _read_events(response):
            if "error" in event:
                print(f"\nended by {event['error']}")
                return False
            text = event["choices"][0]["delta"]["content"]
            texts.append(text)
            print(text, end="", flush=True)
            if len(texts) == KILL_AFTER_TOKENS:
                await self._kill_second_stage(router)
        expected = _reference_answer()
        matches = "".join(texts) == expected
        print(f"\nequal to the unsplit model's answer: {matches}")
        return matches

    async def _kill_second_stage(self, router: routers.Router) -> None:
        vm = router.chat.pipelines()[0].stages[1].vm
        print(f"\n[{vm}, a stage of this answer, is killed]", flush=True)
        await self._deployed.agent_by_vm[vm].kill()

    async def _release_twice(self) -> bool:
        answers = []
        for _ in range(2):
            response = await self._post(
                "/services/core-application/releases",
                {"credit": "SDT-1187", "amount": "PHP 1,200,000"},
                **{"idempotency-key": "release-SDT-1187"},
            )
            answers.append(await response.text())
        service = self._deployed.agent_by_vm[ids.VmId("core-1")].service
        executions = len(service.executions) if service else 0
        print(f"payment release sent twice with one key: {answers}")
        print(f"executions at the core application: {executions}")
        return executions == 1

    async def _post(
        self, path: str, body: dict[str, Any], **headers: str
    ) -> aiosonic.HttpResponse:
        return await self._client.post(
            f"http://{self._address}{path}",
            json=body,
            headers=self._headers | headers,
        )


async def _read_events(response: aiosonic.HttpResponse) -> Any:
    pending = b""
    async for part in response.read_chunks():
        *events, pending = (pending + part).split(b"\n\n")
        for event in events:
            data = event.split(b"data: ", 1)[1]
            if data == b"[DONE]":
                return
            yield json.loads(data)


def _reference_answer() -> str:
    prompt = tokenizer.ByteTokenizer().encode(
        [tokenizer.ChatMessage("user", PROMPT)]
    )
    tokens = toy_engine.reference_tokens(
        ids.ModelId("sampaguita-drafts"),
        ids.VersionId("v1"),
        ids.AdapterId("letters-of-credit"),
        layers=12,
        prompt=prompt,
        max_tokens=MAX_TOKENS,
    )
    return "".join(f" {toy_engine.WORDS[token]}" for token in tokens)


async def run() -> bool:
    """Runs the demo.

    Returns:
        Whether all steps produced the expected results.
    """
    directory = example_directory()
    deployed = deployment.Deployment()
    platform = await deployed.start()
    head = await operator_client.apply(platform.key_value, directory, None)
    print(f"declaration applied as generation {head.generation}")
    await _start_agents(deployed, declaration.load(directory))
    router = _make_router(platform)
    listener = websocket_link.WebsocketListener(router.serve_link)
    await listener.start(router.own.listen)
    router.start()
    server = http_server.HttpServer(http_app.HttpApp(router).app)
    address = await server.start(deployment.ANY_PORT)
    try:
        return await Demo(deployed, address).run(router)
    finally:
        await router.leave()
        await server.stop()
        await router.stop()
        await listener.stop()
        await deployed.stop()


def main() -> None:
    """Runs the demo; fails if a step had an unexpected result.

    Raises:
        errors.NutmegError: a step had an unexpected result.
    """
    if not asyncio.run(run()):
        raise errors.NutmegError(
            "the demo did not produce the expected results"
        )
