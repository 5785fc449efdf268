"""The command line of nutmeglift-agent."""

import asyncio
import pathlib
import secrets
import signal

import fire

import nutmeglift
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift_agent import agent as agents
from nutmeglift_agent import http_backend
from nutmeglift_agent import http_engine
from nutmeglift_wire import clock
from nutmeglift_wire import exit_codes
from nutmeglift_wire import logs
from nutmeglift_wire import metrics
from nutmeglift_wire import websocket_link

INCARNATION_BYTES = 8


async def serve_agent(
    agent_settings: settings.AgentSettings, *, plain: bool
) -> None:
    """Runs an agent until SIGTERM or SIGINT, then drains it.

    Work in flight completes first; SIGQUIT during the drain aborts it.
    """
    engine = (
        None if plain else http_engine.HttpEngine(agent_settings.backend, 30.0)
    )
    service = (
        http_backend.HttpPlainBackend(agent_settings.backend) if plain else None
    )
    agent = agents.Agent(
        agent_settings,
        incarnation=ids.Incarnation(secrets.token_hex(INCARNATION_BYTES)),
        clock=clock.LoopClock(),
        dialer=websocket_link.WebsocketDialer(),
        metrics=metrics.make(
            agent_settings.platform.statsd, f"nutmeglift.{agent_settings.vm}"
        ),
        engine=engine,
        service=service,
    )
    # Before the port opens, as by default a signal ends what was accepted.
    leave = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave.set)
    loop.add_signal_handler(signal.SIGQUIT, agent.drain.force)
    agent.start()
    listener = websocket_link.WebsocketListener(agent.serve_link)
    await listener.start(agent_settings.listen)
    await leave.wait()
    await agent.leave()
    await listener.stop()
    await agent.stop()


class Commands:
    """nutmeglift-agent: runs the agent of a backend server."""

    def serve(self, settings_file: str, plain: bool = False) -> None:
        """Runs the agent.

        Args:
            settings_file: YAML file with this process's settings.
            plain: the backend server is a plain service, no model runner.
        """
        path = pathlib.Path(settings_file)
        agent_settings = settings.load(path, settings.AgentSettings)
        logs.set_up(agent_settings.vm)
        asyncio.run(serve_agent(agent_settings, plain=plain))


def main() -> None:
    """Entry point."""
    exit_codes.run(
        lambda: fire.Fire(Commands(), name="nutmeglift-agent"),
        f"nutmeglift-agent {nutmeglift.__version__}",
    )


if __name__ == "__main__":
    main()
