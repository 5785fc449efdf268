"""The command line of nutmeglift."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import importlib
import pathlib
import random
import secrets
import signal
import time
from typing import TypeVar

import fire
import msgspec

import nutmeglift
from nutmeglift import configuration_chunks as chunks
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import settings
from nutmeglift import status
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

T = TypeVar("T")


async def serve_router(own: settings.RouterSettings) -> None:
    """Runs a router until SIGTERM or SIGINT.

    The router then drains before it exits; SIGQUIT during the drain aborts the
    work in flight.
    """
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
    # Before the ports open, as by default a signal ends what was accepted.
    leave = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave.set)
    loop.add_signal_handler(signal.SIGQUIT, router.drain.force)
    listener = websocket_link.WebsocketListener(router.serve_link)
    await listener.start(own.listen)
    router.start()
    server = http_server.HttpServer(http_app.HttpApp(router).app)
    await server.start(own.http)
    await leave.wait()
    await router.leave()
    await server.stop()
    await router.stop()
    await listener.stop()


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
        digest = chunks.root_digest(chunks.ChunkedDeclaration(declared).index)
        print(f"{directory}: correct, digest {digest}")

    def apply(
        self,
        directory: str,
        key_value: str,
        expect_generation: int | None = None,
        dry_run: bool = False,
        wait: float = 0.0,
        router: str = "",
        token_file: str | None = None,
    ) -> None:
        """Applies a declaration as a whole.

        Args:
            directory: directory of YAML files.
            key_value: address of the key-value service.
            expect_generation: refuse unless this generation is in force.
            dry_run: only show what would change.
            wait: seconds to wait for the acknowledgement of all processes.
            router: HTTP addresses of routers, separated by commas; the new
                generation follows the newest one known to them.
            token_file: file with the operator's token; default is the content
                of the environment variable NUTMEGLIFT_TOKEN.
        """
        declared = declaration.load(pathlib.Path(directory))
        command = _make_command(
            key_value, router, token_file, expect_generation, wait
        )
        if dry_run:
            changes = _run(command, lambda operator: operator.plan(declared))
            for change in changes:
                print(change.line())
            print(f"{len(changes)} changes; nothing was applied")
            return
        _apply_and_wait(command, lambda operator: operator.apply(declared))

    def rollback(
        self,
        key_value: str,
        to_generation: int,
        expect_generation: int | None = None,
        wait: float = 0.0,
        router: str = "",
        token_file: str | None = None,
    ) -> None:
        """Applies the content of an older generation as a new generation.

        Args:
            key_value: address of the key-value service.
            to_generation: the older generation.
            expect_generation: refuse unless this generation is in force.
            wait: as apply.
            router: as apply.
            token_file: as apply.
        """
        command = _make_command(
            key_value, router, token_file, expect_generation, wait
        )
        _apply_and_wait(
            command, lambda operator: operator.roll_back(to_generation)
        )

    def status(
        self, router: str, json: bool = False, token_file: str | None = None
    ) -> None:
        """Shows the state of the whole system as known to routers.

        Args:
            router: HTTP addresses of routers, separated by commas.
            json: print JSON.
            token_file: as apply.
        """
        statuses = operator_client.run(
            operator_client.read_status(_make_routers(router, token_file))
        )
        if json:
            print(msgspec.json.encode(statuses).decode())
            return
        print("\n".join(status.render(statuses)))

    def drain(
        self, vm: str, router: str, token_file: str | None = None
    ) -> None:
        """Drains a VM: it accepts no new work and finishes work in flight.

        Args:
            vm: the VM.
            router: HTTP addresses of routers, separated by commas.
            token_file: as apply.
        """
        operator_client.run(
            operator_client.drain(_make_routers(router, token_file), str(vm))
        )
        print(f"{vm}: drain ordered")

    def history(self, key_value: str, limit: int = 20) -> None:
        """Shows the audit trail, newest first.

        Args:
            key_value: address of the key-value service.
            limit: maximum number of entries to show.
        """
        command = operator_client.CommandOptions(key_value)
        audit_entries = _run(command, lambda operator: operator.history(limit))
        for entry in audit_entries:
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.time))
            print(
                f"{entry.generation} {when} {entry.author}"
                f" (after {entry.previous}, apply {entry.apply})"
            )
            for change in entry.changes:
                print(f"    {change}")

    def demo(self) -> None:
        """Runs the whole system on the loopback interface for demonstration."""
        try:
            demo = importlib.import_module("nutmeglift_fakes.demo")
        except ImportError as error:
            raise errors.UsageError(
                "the demo needs the package nutmeglift_fakes"
            ) from error
        demo.main()


def _make_routers(
    addresses: str, token_file: str | None
) -> operator_client.RouterAccess:
    names = addresses if isinstance(addresses, tuple) else (addresses,)
    return operator_client.RouterAccess(
        tuple(part for name in names for part in name.split(",") if part),
        operator_client.read_token(token_file),
    )


def _make_command(
    key_value: str,
    router: str,
    token_file: str | None,
    expected: int | None,
    wait: float,
) -> operator_client.CommandOptions:
    if wait and not router:
        raise errors.UsageError("--wait needs --router")
    return operator_client.CommandOptions(
        key_value, _make_routers(router, token_file), expected, float(wait)
    )


def _run(
    command: operator_client.CommandOptions,
    work: Callable[[operator_client.Operator], Awaitable[T]],
) -> T:
    async def work_and_close() -> T:
        operator = operator_client.Operator(command)
        try:
            return await work(operator)
        finally:
            await operator.close()

    return operator_client.run(work_and_close())


def _apply_and_wait(
    command: operator_client.CommandOptions,
    work: Callable[
        [operator_client.Operator],
        Awaitable[control_messages.ConfigurationHead],
    ],
) -> None:
    head = _run(command, work)
    print(f"generation {head.generation} accepted, digest {head.digest}")
    if not command.wait_seconds:
        return
    unacknowledged = _run(command, lambda operator: operator.wait(head))
    if unacknowledged:
        raise errors.NutmegError(
            f"not acknowledged within {command.wait_seconds:g} s by: "
            + ", ".join(unacknowledged)
        )
    print("acknowledged by all processes known to the routers")


def main() -> None:
    """Entry point."""
    exit_codes.run(
        lambda: fire.Fire(Commands(), name="nutmeglift"),
        f"nutmeglift {nutmeglift.__version__}",
    )


if __name__ == "__main__":
    main()
