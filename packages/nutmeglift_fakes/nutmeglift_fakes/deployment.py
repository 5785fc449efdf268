"""A full deployment of fakes and agents on the loopback interface."""

import asyncio
import dataclasses
import random

import pydantic

from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import plan
from nutmeglift import settings
from nutmeglift_agent import agent as agents
from nutmeglift_agent import http_backend
from nutmeglift_agent import http_engine
from nutmeglift_fakes import engine_server
from nutmeglift_fakes import kv_server
from nutmeglift_fakes import plain_service
from nutmeglift_fakes import toy_engine
from nutmeglift_fakes import vm_list_server
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import http_server
from nutmeglift_wire import metrics
from nutmeglift_wire import vm_list
from nutmeglift_wire import websocket_link

ANY_PORT = "127.0.0.1:0"
SHARED_KEY = pydantic.SecretStr("a key of the demo only")
ENGINE_TIMEOUT_SECONDS = 10.0
STEP_OVERHEAD_SECONDS = 0.001


@dataclasses.dataclass
class RunningAgent:
    """An agent and the fake backend server next to it.

    Attributes:
        agent: the agent.
        address: its address.
        listener: its listener.
        server: HTTP server of the fake.
        engine: the fake engine, if the backend server is a model runner.
        service: the fake plain service, otherwise.
    """

    agent: agents.Agent
    address: str
    listener: websocket_link.WebsocketListener
    server: http_server.HttpServer
    engine: toy_engine.ToyEngine | None = None
    service: plain_service.ToyPlainService | None = None

    async def kill(self) -> None:
        """Kills the agent and its backend server immediately."""
        if self.engine is not None:
            self.engine.faults.dead = True
        await self.agent.stop()
        await self.listener.stop()
        await self.server.stop()


class Deployment:
    """Fake platform services and real agents, connected over sockets.

    Attributes:
        store: contents of the key-value service.
        vms: the VM list.
        platform: addresses of the fake platform services, once started.
        agent_by_vm: the running agents.
    """

    def __init__(self) -> None:
        self.store = kv.MemoryKv()
        self.vms = vm_list.MemoryVmList()
        self.platform: settings.Platform | None = None
        self.agent_by_vm: dict[ids.VmId, RunningAgent] = {}
        self._clock = clocks.LoopClock()
        self._servers: list[http_server.HttpServer] = []

    async def start(self) -> settings.Platform:
        """Starts the fake platform services; returns their addresses."""
        key_value = http_server.HttpServer(kv_server.KvServer(self.store).app)
        listed = http_server.HttpServer(
            vm_list_server.VmListServer(self.vms).app
        )
        self._servers = [key_value, listed]
        self.platform = settings.Platform(
            key_value=await key_value.start(ANY_PORT),
            vm_list=await listed.start(ANY_PORT),
        )
        return self.platform

    async def add_runner(
        self,
        vm: ids.VmId,
        failure_domain: ids.FailureDomain,
        backend_class: str,
        *,
        layers: int,
        layer_positions_per_second: float,
    ) -> RunningAgent:
        """Starts a model runner with its agent."""
        toy = toy_engine.ToyEngine(
            clock=self._clock,
            layers=layers,
            layer_positions_per_second=layer_positions_per_second,
            rng=random.Random(vm),
            step_overhead=STEP_OVERHEAD_SECONDS,
        )
        server = http_server.HttpServer(engine_server.EngineServer(toy).app)
        return await self._add(
            vm, failure_domain, backend_class, server, engine=toy
        )

    async def add_service(
        self,
        vm: ids.VmId,
        failure_domain: ids.FailureDomain,
        backend_class: str,
    ) -> RunningAgent:
        """Starts a plain service with its agent."""
        service = plain_service.ToyPlainService(self._clock)
        server = http_server.HttpServer(service.app)
        return await self._add(
            vm, failure_domain, backend_class, server, service=service
        )

    async def stop(self) -> None:
        """Stops all agents and servers."""
        kills = [running.kill() for running in self.agent_by_vm.values()]
        await asyncio.gather(*kills)
        self.store.set_down(True)
        await asyncio.gather(*(server.stop() for server in self._servers))

    async def _add(
        self,
        vm: ids.VmId,
        failure_domain: ids.FailureDomain,
        backend_class: str,
        server: http_server.HttpServer,
        *,
        engine: toy_engine.ToyEngine | None = None,
        service: plain_service.ToyPlainService | None = None,
    ) -> RunningAgent:
        assert self.platform is not None
        backend = await server.start(ANY_PORT)
        listener = websocket_link.WebsocketListener(
            lambda link: agent.serve_link(link)  # noqa: PLW0108
        )
        address = await listener.start(ANY_PORT)
        agent = agents.Agent(
            settings.AgentSettings(
                vm=vm,
                listen=address,
                failure_domain=failure_domain,
                platform=self.platform,
                shared_key=SHARED_KEY,
                backend=backend,
                backend_class=backend_class,
            ),
            incarnation=ids.Incarnation(f"{vm}-1"),
            clock=self._clock,
            dialer=websocket_link.WebsocketDialer(),
            metrics=metrics.NoMetrics(),
            engine=engine
            and http_engine.HttpEngine(backend, ENGINE_TIMEOUT_SECONDS),
            service=service and http_backend.HttpPlainBackend(backend),
        )
        agent.start()
        running = RunningAgent(
            agent, address, listener, server, engine, service
        )
        self.agent_by_vm[vm] = running
        self.vms.put(plan.VmEntry(vm, address, failure_domain, backend_class))
        return running
