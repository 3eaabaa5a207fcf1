"""Keep the requests under which upstreams have crashed, and decide which of them to refuse."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator

__all__ = ("FINGERPRINT_BYTES", "SUSPECT_TTL_S", "SuspectTable", "hash_parts")

#: length of a fingerprint, in bytes
FINGERPRINT_BYTES: Final = 16
#: longest refusal, in s; each refusal of a fingerprint lasts twice as long as the one before
_MAX_REFUSAL_S: Final = 3600.0
#: time after which a fingerprint without a further crash is removed, in s
SUSPECT_TTL_S: Final = 600.0
#: maximum number of fingerprints
_MAX_SUSPECTS: Final = 1024
#: maximum number of crashes that are kept for a fingerprint
_MAX_CRASHES: Final = 16

#: identification of a crash
C = TypeVar("C")


def hash_parts(*parts: bytes) -> bytes:
    """Return the digest of the parts that make two requests equal."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


class _Suspect(Generic[C]):
    """Crashes and refusals of one fingerprint."""

    __slots__ = ("crashes", "refusal_count", "refused_until", "updated_at")

    def __init__(self) -> None:
        #: crashes in the order in which they became known
        self.crashes: dict[C, None] = {}
        #: number of refusals so far
        self.refusal_count = 0
        #: end of the refusal, in s; 0 if not refused
        self.refused_until = 0.0
        self.updated_at = 0.0


class SuspectTable(Generic[C]):
    """Crashes by the fingerprint of the requests that were running in them.

    A fingerprint is refused once its crashes are conclusive. After a refusal, one further crash
    renews it.
    """

    def __init__(
        self, *, is_conclusive: Callable[[Collection[C]], bool], initial_refusal_s: float
    ) -> None:
        """Create an empty table.

        :param is_conclusive: returns whether crashes are enough to refuse their fingerprint.
        :param initial_refusal_s: duration of the first refusal, in s.
        """
        self._is_conclusive = is_conclusive
        self._initial_refusal_s = initial_refusal_s
        self._suspects: dict[bytes, _Suspect[C]] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def __contains__(self, fingerprint: object) -> bool:
        return fingerprint in self._suspects

    def add(self, fingerprint: bytes, crash: C, now: float) -> float:
        """Add a crash, and return the duration of the refusal that begins with it, in s, or 0.

        :param now: current time, in s.
        """
        if fingerprint not in self._suspects and len(self._suspects) >= _MAX_SUSPECTS:
            self._evict()
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        if len(suspect.crashes) >= _MAX_CRASHES:
            del suspect.crashes[next(iter(suspect.crashes))]
        suspect.crashes[crash] = None
        suspect.updated_at = now
        if now < suspect.refused_until:
            # nodes end a refusal at slightly different times, so the next one may have begun
            suspect.refused_until = now + self._get_duration(suspect.refusal_count - 1)
            return 0.0
        if not suspect.refusal_count and not self._is_conclusive(suspect.crashes.keys()):
            return 0.0
        duration_s = self._get_duration(suspect.refusal_count)
        suspect.refused_until = now + duration_s
        suspect.refusal_count += 1
        return duration_s

    def _get_duration(self, earlier_refusals: int) -> float:
        return min(_MAX_REFUSAL_S, self._initial_refusal_s * 2.0 ** min(earlier_refusals, 10))

    def discard(self, fingerprint: bytes, crashes: Iterable[C]) -> bool:
        """Discard crashes of a fingerprint; return whether none is left."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        for crash in crashes:
            suspect.crashes.pop(crash, None)
        if suspect.crashes:
            return False
        del self._suspects[fingerprint]
        return True

    def get_crashes(self, fingerprint: bytes) -> list[C]:
        """Return the crashes of a fingerprint."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else list(suspect.crashes)

    def get_refusal_time(self, fingerprint: bytes, now: float) -> float:
        """Return the remaining time of a fingerprint's refusal, in s; 0 if it is not refused."""
        suspect = self._suspects.get(fingerprint)
        return 0.0 if suspect is None else max(0.0, suspect.refused_until - now)

    def count_refusals(self, fingerprint: bytes) -> int:
        """Return how many refusals of a fingerprint have begun so far."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else suspect.refusal_count

    def is_refused(self, fingerprint: bytes) -> bool:
        """Return whether a fingerprint is refused, as of the last call of :meth:`expire`."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.refused_until > 0.0

    def list_crashes(self) -> Iterator[tuple[bytes, C]]:
        """Iterate over all fingerprints and their crashes."""
        for fingerprint, suspect in self._suspects.items():
            for crash in suspect.crashes:
                yield fingerprint, crash

    def list_refused(self) -> frozenset[bytes]:
        """Return the fingerprints that are refused."""
        return frozenset(key for key, row in self._suspects.items() if row.refused_until)

    def list_suspected(self) -> frozenset[bytes]:
        """Return the fingerprints that are not refused."""
        return frozenset(key for key, row in self._suspects.items() if not row.refused_until)

    def expire(self, now: float) -> bool:
        """End the refusals that are over, remove old suspects, and return whether any changed."""
        changed = False
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.refused_until and now >= suspect.refused_until:
                suspect.refused_until = 0.0
                suspect.crashes = {next(iter(suspect.crashes)): None}
                suspect.updated_at = now
                changed = True
            elif not suspect.refused_until and now - suspect.updated_at >= SUSPECT_TTL_S:
                del self._suspects[fingerprint]
                changed = True
        return changed

    def _evict(self) -> None:
        """Remove the suspect with the weakest evidence; a refused one last."""

        def get_evidence(fingerprint: bytes) -> tuple[bool, int, float]:
            suspect = self._suspects[fingerprint]
            return suspect.refused_until > 0.0, len(suspect.crashes), suspect.updated_at

        del self._suspects[min(self._suspects, key=get_evidence)]
