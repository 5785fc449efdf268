"""Command line of a router."""

from collections.abc import Callable
import pathlib
import sys
from typing import TYPE_CHECKING

import fire
from fire import decorators

from nutmeglift import errors
from nutmeglift_gateway import gateway
from nutmeglift_gateway import quarantine_commands
from nutmeglift_gateway import settings
from nutmeglift_gateway import settings_source

if TYPE_CHECKING:
    from nutmeglift_gateway import configuration_command

EXIT_FAILED = 1
EXIT_SETTINGS = 2


class Commands:
    """A router that forwards callers' requests to backend servers."""

    def __init__(
        self,
        run: gateway.RunGateway,
        default_path: str,
        open_store: quarantine_commands.OpenStore,
        configuration_format: "Callable[[], configuration_command.Format]",
    ) -> None:
        self._run = run
        self._open_store = open_store
        self._configuration_format = configuration_format
        self._default_path = default_path
        self.quarantine = quarantine_commands.QuarantineCommands(
            self._load, open_store
        )

    def serve(self, path: str = "") -> None:
        """Serves until SIGTERM.

        Args:
            path: settings file; defaults to the platform's.
        """
        import uvloop  # noqa: PLC0415 - not needed by `check`.

        source = self._source(path)
        config = _load_or_exit(source)
        try:
            uvloop.run(self._run(config, source))
        except OSError as error:
            # An address is in use, or does not belong to this VM.
            print(f"{config.vm}: {error}", file=sys.stderr)
            sys.exit(EXIT_FAILED)

    def check(self, path: str = "") -> None:
        """Checks a settings file.

        Args:
            path: settings file; defaults to the platform's.
        """
        print(f"{self._load(path).vm}: the settings are valid")

    @decorators.SetParseFn(str, "file", "against", "path")  # type: ignore[untyped-decorator]
    def check_configuration(
        self,
        file: str,
        against: str = "",
        stored: bool = False,
        json: bool = False,
        path: str = "",
    ) -> None:
        """Checks a configuration before it is sent.

        Exits with 0 if there is nothing to say, 1 with findings, and 2 if
        something can't be read.

        Args:
            file: the configuration.
            against: file with the version in force.
            stored: compare with the version in the store.
            json: print a JSON list.
            path: settings file; defaults to the platform's.
        """
        from nutmeglift_gateway import configuration_command  # noqa: PLC0415 - not by `serve`.

        settings_path = path or self._default_path
        bounds = settings.Bounds()
        if stored or path or pathlib.Path(settings_path or ".").is_file():
            bounds = self._load(settings_path).bounds
        configuration_command.run(
            file,
            against,
            (lambda: self._open_store(self._load(settings_path)))
            if stored
            else None,
            as_json=json,
            stall_seconds=bounds.stall_seconds,
            configuration_format=self._configuration_format(),
        )

    def _load(self, path: str) -> settings.Settings:
        return _load_or_exit(self._source(path))

    def _source(self, path: str) -> settings_source.FileSettings:
        return settings_source.FileSettings(
            pathlib.Path(path or self._default_path)
        )


def _load_or_exit(
    source: settings_source.BaseSettingsSource,
) -> settings.Settings:
    try:
        return source.load()
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)


def main(
    run: gateway.RunGateway,
    default_path: str,
    open_store: quarantine_commands.OpenStore,
    configuration_format: "Callable[[], configuration_command.Format]",
) -> None:
    """Runs the command given on the command line."""
    fire.Fire(Commands(run, default_path, open_store, configuration_format))
