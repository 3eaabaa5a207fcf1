"""Define the interface of the platform's append-only log and the rows that it returns."""

from __future__ import annotations

from typing import NamedTuple, Protocol

__all__ = ("Batch", "Entry", "Log")


class Entry(NamedTuple):
    """One record of a stream, with its offset."""

    offset: int
    data: bytes


class Batch(NamedTuple):
    """Result of one read of a stream."""

    #: offset of the oldest record that the log still keeps
    first: int
    #: offset that the next appended record will get
    end: int
    entries: tuple[Entry, ...]


class Log(Protocol):
    """Append records to streams and read them back by offset."""

    def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: nothing was written.
        :raises LogOutcomeUnknownError: the record may have been written.
        """

    def read(self, stream: str, *, start: int, limit: int, wait_s: float) -> Batch:
        """Return the records from an offset on.

        If ``start`` is lower than ``Batch.first``, the log has dropped the records in between.

        :param limit: maximum number of records.
        :param wait_s: maximum wait for a first record, in s.
        :raises LogUnavailableError: the log gave no valid response.
        """
