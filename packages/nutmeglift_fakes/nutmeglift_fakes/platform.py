"""Serves fakes of the platform and the backend servers for manual tests."""

import asyncio
import pathlib
import random
from typing import Any

import fire
import pydantic
import yaml

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import plan
from nutmeglift import settings
from nutmeglift_fakes import engine_server
from nutmeglift_fakes import kv_server
from nutmeglift_fakes import plain_service
from nutmeglift_fakes import toy_engine
from nutmeglift_fakes import vm_list_server
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import exit_codes
from nutmeglift_wire import http_server
from nutmeglift_wire import vm_list

STEP_OVERHEAD_SECONDS = 0.001


class StandInVm(settings.Section):
    """A VM in the fake VM list.

    Attributes:
        name: its name.
        address: address of the nutmeglift process on it.
        failure_domain: its failure domain.
        backend_class: declared class of its backend server, if any.
        backend: address at which to serve a fake of that backend server.
        layers: layers of the whole model; 0 for a plain service.
        layer_positions_per_second: throughput of the toy engine.
    """

    name: ids.VmId
    address: settings.Address
    failure_domain: ids.FailureDomain
    backend_class: str | None = None
    backend: settings.Address | None = None
    layers: int = pydantic.Field(default=0, ge=0)
    layer_positions_per_second: float = pydantic.Field(default=20000.0, gt=0)


class StandIns(settings.Section):
    """The fakes to serve.

    Attributes:
        key_value: address of the key-value service.
        vm_list: address of the VM list.
        vms: the VMs in the list.
    """

    key_value: settings.Address
    vm_list: settings.Address
    vms: tuple[StandInVm, ...]


def load(path: pathlib.Path) -> StandIns:
    """Reads a file that describes the fakes to serve.

    Raises:
        errors.SettingsError: the file can't be read or is invalid.
    """
    try:
        value: Any = yaml.safe_load(path.read_text(encoding="utf-8"))
        return StandIns.model_validate(value)
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    except pydantic.ValidationError as error:
        lines = settings.describe(error, StandIns)
        text = "\n".join(f"{path}: {line}" for line in lines)
        raise errors.SettingsError(text) from error


async def start(wanted: StandIns) -> list[http_server.HttpServer]:
    """Starts all fakes; returns their servers."""
    vms = vm_list.MemoryVmList()
    servers = [
        await _serve(kv_server.KvServer(kv.MemoryKv()).app, wanted.key_value),
        await _serve(vm_list_server.VmListServer(vms).app, wanted.vm_list),
    ]
    for vm in wanted.vms:
        vms.put(
            plan.VmEntry(
                vm.name, vm.address, vm.failure_domain, vm.backend_class
            )
        )
        if vm.backend is not None:
            servers.append(await _serve(_make_backend(vm), vm.backend))
    return servers


def _make_backend(vm: StandInVm) -> Any:
    clock = clocks.LoopClock()
    if not vm.layers:
        return plain_service.ToyPlainService(clock).app
    toy = toy_engine.ToyEngine(
        clock=clock,
        layers=vm.layers,
        layer_positions_per_second=vm.layer_positions_per_second,
        rng=random.Random(vm.name),
        step_overhead=STEP_OVERHEAD_SECONDS,
        record=False,
    )
    return engine_server.EngineServer(toy).app


async def _serve(app: Any, address: str) -> http_server.HttpServer:
    server = http_server.HttpServer(app)
    await server.start(address)
    return server


async def _serve_forever(wanted: StandIns) -> None:
    await start(wanted)
    print(f"serving {len(wanted.vms)} VMs; end with Ctrl-C")
    await asyncio.Event().wait()


def serve(stand_ins_file: str) -> None:
    """Serves fakes until interrupted.

    Args:
        stand_ins_file: YAML file that describes them.
    """
    wanted = load(pathlib.Path(stand_ins_file))
    try:
        asyncio.run(_serve_forever(wanted))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    exit_codes.run(
        lambda: fire.Fire(serve, name="nutmeglift_fakes.platform"),
        "nutmeglift_fakes",
    )
