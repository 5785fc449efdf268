"""Exit codes of the commands."""

from collections.abc import Callable
import enum
import sys

from nutmeglift import errors


class ExitCode(enum.IntEnum):
    """Exit codes that commands return."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    PLATFORM_UNREACHABLE = 4


def exit_code_for(error: errors.NutmegError) -> ExitCode:
    """Returns the exit code for an error."""
    match error:
        case (
            errors.UsageError()
            | errors.SettingsError()
            | errors.DeclarationError()
        ):
            return ExitCode.USAGE
        case errors.ConflictError():
            return ExitCode.CONFLICT
        case errors.PlatformError():
            return ExitCode.PLATFORM_UNREACHABLE
        case _:
            return ExitCode.FAILED


def run(command: Callable[[], object], version: str) -> None:
    """Runs a command; prints an error to stderr and exits with its code."""
    if sys.argv[1:] == ["--version"]:
        print(version)
        sys.exit(ExitCode.DONE)
    try:
        command()
    except errors.NutmegError as error:
        print(error.detail, file=sys.stderr)
        sys.exit(exit_code_for(error))
