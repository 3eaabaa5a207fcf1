"""HTTP client of the platform's append-only log."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final
from urllib.parse import quote

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from balsamhead.errors import LogOutcomeUnknownError, LogUnavailableError, MalformedMessageError
from balsamhead.log._model import Batch
from balsamhead.util import codec

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

__all__ = ("NOT_WRITTEN_HEADER", "HttpLog")

#: response header which states that the append had no effect
NOT_WRITTEN_HEADER: Final = "X-Log-Not-Written"

#: maximum number of idle connections that are kept open for reuse
MAX_IDLE_CONNECTIONS: Final = 4

#: maximum size of the response to one read, in bytes
MAX_RESPONSE_BYTES: Final = 64 << 20


class HttpLog:
    """Append records to the log and read them; safe for use by several threads."""

    def __init__(self, pool: urllib3.PoolManager, *, url: str, timeout_s: float) -> None:
        self._pool = pool
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s

    @classmethod
    def from_config(cls, *, url: str, timeout_s: float) -> HttpLog:
        """Create a client.

        :param url: "http://address:port" of the log.
        :param timeout_s: timeout for connecting, and for each wait for data of a response, in s.
        """
        pool = urllib3.PoolManager(maxsize=MAX_IDLE_CONNECTIONS, retries=False)
        return cls(pool, url=url, timeout_s=timeout_s)

    def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: nothing was written.
        :raises LogOutcomeUnknownError: the record may have been written.
        """
        try:
            response = self._pool.request(
                "POST",
                self._build_records_url(stream),
                body=data,
                headers={"Content-Type": "application/cbor"},
                timeout=self._timeout_s,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise self._make_unavailable_error("append-record", exc) from exc
        except (HTTPError, OSError) as exc:
            raise self._make_outcome_unknown_error(exc) from exc

        if response.status == 201:
            return self._parse_offset(response)
        if _is_not_written(response):
            raise self._make_unavailable_error("append-record", f"status {response.status}")
        raise self._make_outcome_unknown_error(f"status {response.status}")

    def read(self, stream: str, *, start: int, limit: int, wait_s: float) -> Batch:
        """Return the records from an offset on.

        :param limit: maximum number of records.
        :param wait_s: maximum wait for a first record, in s.
        :raises LogUnavailableError: the log gave no valid response.
        """
        try:
            response = self._pool.request(
                "GET",
                self._build_records_url(stream),
                fields={"start": str(start), "limit": str(limit), "wait_s": str(wait_s)},
                timeout=urllib3.Timeout(connect=self._timeout_s, read=self._timeout_s + wait_s),
            )
        except (HTTPError, OSError) as exc:
            raise self._make_unavailable_error("read-records", exc) from exc

        if response.status != 200:
            raise self._make_unavailable_error("read-records", f"status {response.status}")
        if len(response.data) > MAX_RESPONSE_BYTES:
            raise self._make_unavailable_error("read-records", "response too large")
        try:
            return codec.decode(response.data, Batch, step="read-records", peer=self._url)
        except MalformedMessageError as exc:
            raise self._make_unavailable_error("read-records", exc) from exc

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.clear()

    def _build_records_url(self, stream: str) -> str:
        return f"{self._url}/streams/{quote(stream, safe='')}/records"

    def _parse_offset(self, response: BaseHTTPResponse) -> int:
        try:
            offset = json.loads(response.data)["offset"]
        except (ValueError, KeyError, TypeError) as exc:
            raise self._make_outcome_unknown_error(exc) from exc
        if not isinstance(offset, int) or offset < 0:
            raise self._make_outcome_unknown_error("the response has no valid offset")
        return offset

    def _make_unavailable_error(self, step: str, cause: object) -> LogUnavailableError:
        return LogUnavailableError(
            f"the log is unavailable, try again later: {cause}", step=step, peer=self._url
        )

    def _make_outcome_unknown_error(self, cause: object) -> LogOutcomeUnknownError:
        return LogOutcomeUnknownError(
            f"the record may have been written, look for its id in the stream: {cause}",
            step="append-record",
            peer=self._url,
        )


def _is_not_written(response: BaseHTTPResponse) -> bool:
    return NOT_WRITTEN_HEADER in response.headers or 400 <= response.status < 500
