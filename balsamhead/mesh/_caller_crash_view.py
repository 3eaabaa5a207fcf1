"""Look up what is known of crashes under a request that a caller has sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.mesh._fingerprint import compute_fingerprint

if TYPE_CHECKING:
    from balsamhead.mesh._crash_registry import CrashRegistry
    from balsamhead.mesh._request_reader import Request

__all__ = ("CallerCrashView", "fingerprint_request")


def fingerprint_request(request: Request) -> bytes:
    """Return the fingerprint by which equal requests are known."""
    head = request.head
    return compute_fingerprint(
        method=head.method, target=head.target, header_lines=head.forwarded, body=request.body
    )


class CallerCrashView:
    """View of the crash registry for the callers of one VM.

    Fingerprints are computed only while some request is suspected.

    :param service: service of the VM.
    """

    def __init__(self, registry: CrashRegistry, *, service: str) -> None:
        self._registry = registry
        self._service = service

    def get_refusal_time(self, request: Request, now: float) -> float:
        """Return how long a request is still refused, in s; 0 if it is not."""
        if not self._registry:
            return 0.0
        return self._registry.get_refusal_time(fingerprint_request(request), self._service, now)

    def is_suspected(self, request: Request) -> bool:
        """Return whether a request is suspected or refused."""
        return bool(self._registry) and self._registry.is_suspected(fingerprint_request(request))

    def is_on_trial(self, request: Request) -> bool:
        """Return whether a request may run on one upstream at a time only."""
        return bool(self._registry) and self._registry.is_on_trial(
            fingerprint_request(request), self._service
        )
