"""Reads a router's settings and detects that they may have changed."""

import abc
import os
import pathlib

from nutmeglift_gateway import settings

_Stamp = tuple[int, int, int, int, int]


class BaseSettingsSource(abc.ABC):
    """Settings that may change while a router runs."""

    @abc.abstractmethod
    def load(self) -> settings.Settings:
        """Reads the settings.

        Raises:
            errors.SettingsError: the settings can't be read or are invalid.
        """

    @abc.abstractmethod
    def has_changed(self) -> bool:
        """Returns whether they may have changed since they were last read."""


class FileSettings(BaseSettingsSource):
    """Settings in a file, which may be replaced or written in place.

    The platform has no notifications of changed files, so the file's status is
    compared.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Initializes a source that has not read its file.

        Args:
            path: the settings file.
        """
        self._path = path
        self._stamp: _Stamp | None = None

    def load(self) -> settings.Settings:
        """Reads the file.

        Raises:
            errors.SettingsError: the file can't be read, or a setting is
                invalid.
        """
        # Taken first, so that a change during the read is noticed later.
        self._stamp = self._read_stamp()
        return settings.load(self._path)

    def has_changed(self) -> bool:
        """Returns whether the file is another, or was written, since a read."""
        return self._read_stamp() != self._stamp

    def _read_stamp(self) -> _Stamp | None:
        """Returns what identifies a version of the file; None without one."""
        try:
            status = os.stat(self._path)
        except (OSError, ValueError):
            return None
        return (
            status.st_dev,
            status.st_ino,
            status.st_size,
            status.st_mtime_ns,
            status.st_ctime_ns,
        )
