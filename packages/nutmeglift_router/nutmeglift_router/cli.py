"""The command line of nutmeglift."""

import asyncio
import importlib
import pathlib
import random
import secrets
import signal
import time

import fire

import nutmeglift
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift_router import http_app
from nutmeglift_router import operator_client
from nutmeglift_router import router as routers
from nutmeglift_wire import clock
from nutmeglift_wire import etcd_kv
from nutmeglift_wire import exit_codes
from nutmeglift_wire import http_server
from nutmeglift_wire import logs
from nutmeglift_wire import metrics
from nutmeglift_wire import vm_list
from nutmeglift_wire import websocket_link

INCARNATION_BYTES = 8


async def serve_router(own: settings.RouterSettings) -> None:
    """Runs a router until it is told to leave by SIGTERM or SIGINT."""
    platform = own.platform
    router = routers.Router(
        own,
        incarnation=ids.Incarnation(secrets.token_hex(INCARNATION_BYTES)),
        clock=clock.LoopClock(),
        rng=random.Random(),
        store=etcd_kv.EtcdKv(platform.key_value, platform.timeout_seconds),
        vms=vm_list.HttpVmList(platform.vm_list, platform.timeout_seconds),
        dialer=websocket_link.WebsocketDialer(),
        metrics=metrics.make(platform.statsd, f"nutmeglift.{own.vm}"),
    )
    router.start()
    server = http_server.HttpServer(http_app.HttpApp(router).app)
    await server.start(own.http)
    leave = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave.set)
    await leave.wait()
    await router.leave()
    await server.stop()
    await router.stop()


class Commands:
    """nutmeglift: the router and its operators' commands."""

    def serve(self, settings_file: str) -> None:
        """Runs the router.

        Args:
            settings_file: YAML file with this process's settings.
        """
        path = pathlib.Path(settings_file)
        own = settings.load(path, settings.RouterSettings)
        logs.set_up(own.vm)
        asyncio.run(serve_router(own))

    def check(self, directory: str) -> None:
        """Checks a declaration without applying it.

        Args:
            directory: directory of YAML files.
        """
        declared = declaration.load(pathlib.Path(directory))
        print(f"{directory}: correct, digest {declared.digest()}")

    def apply(
        self,
        directory: str,
        key_value: str,
        expect_generation: int | None = None,
    ) -> None:
        """Applies a declaration as a whole.

        Args:
            directory: directory of YAML files.
            key_value: address of the key-value service.
            expect_generation: refuse unless this generation is in force.
        """
        head = operator_client.run(
            operator_client.apply(
                key_value, pathlib.Path(directory), expect_generation
            )
        )
        print(f"generation {head.generation} accepted, digest {head.digest}")

    def history(self, key_value: str, limit: int = 20) -> None:
        """Shows the audit trail, newest first.

        Args:
            key_value: address of the key-value service.
            limit: most entries to show.
        """
        found = operator_client.run(operator_client.history(key_value, limit))
        for entry in found:
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.time))
            print(f"{entry.generation} {when} {entry.author}")
            for change in entry.changes:
                print(f"    {change}")

    def demo(self) -> None:
        """Runs the whole system on loopback and shows what it does."""
        try:
            demo = importlib.import_module("nutmeglift_fakes.demo")
        except ImportError as error:
            raise errors.UsageError(
                "the demo needs the package nutmeglift_fakes"
            ) from error
        demo.main()


def main() -> None:
    """Entry point."""
    exit_codes.run(
        lambda: fire.Fire(Commands(), name="nutmeglift"),
        f"nutmeglift {nutmeglift.__version__}",
    )


if __name__ == "__main__":
    main()
