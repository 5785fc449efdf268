"""Command line of a router."""

import pathlib
import sys

import fire

from nutmeglift import errors
from nutmeglift_gateway import gateway
from nutmeglift_gateway import quarantine_commands
from nutmeglift_gateway import settings
from nutmeglift_gateway import settings_source

EXIT_FAILED = 1
EXIT_SETTINGS = 2


class Commands:
    """A router that forwards callers' requests to backend servers."""

    def __init__(
        self,
        run: gateway.RunGateway,
        default_path: str,
        open_store: quarantine_commands.OpenStore,
    ) -> None:
        self._run = run
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
) -> None:
    """Runs the command given on the command line."""
    fire.Fire(Commands(run, default_path, open_store))
