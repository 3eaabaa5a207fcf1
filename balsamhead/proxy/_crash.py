"""Detect requests that crash upstreams and refuse them temporarily."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from balsamhead.commands import Command, Send, WriteLogLine
from balsamhead.events import (
    CrashObserved,
    Event,
    MessageReceived,
    SuspectRequestAnswered,
    UpstreamAnnounced,
    UpstreamLost,
)
from balsamhead.membership import UpstreamState
from balsamhead.util.recent import RecentValues
from balsamhead.util.suspects import SuspectTable
from balsamhead.wire import CrashCleared, CrashNotice

if TYPE_CHECKING:
    from balsamhead.node import Tables

__all__ = ("CrashRegistry", "CrashView", "LocalCrashTracker")

#: number of crashes at which a fingerprint is refused
_CRASH_THRESHOLD = 2
#: duration of the first refusal, in s
_INITIAL_REFUSAL_S = 30.0
#: longest time between a crash and a report that it can confirm, in s
_CONFIRMATION_WINDOW_S = 10.0
#: time for which a crash observed by this node counts towards a local refusal, in s
_LOCAL_WINDOW_S = 10.0
#: maximum number of fingerprints with crashes that this node has observed
_MAX_SUSPECTS = 1024
#: maximum number of remembered messages; a remembered message is not forwarded again
_MAX_SEEN_MESSAGES = 4096
#: token bucket for the reports that a node sends: burst size, and rate per second
_REPORT_BURST = 20.0
_REPORTS_PER_S = 2.0


class CrashView(NamedTuple):
    """State of the crash registry that is read while calls run."""

    #: fingerprints that are refused
    refused: frozenset[bytes]
    #: fingerprints with a confirmed crash that are not refused; an answered request clears them
    suspected: frozenset[bytes]
    #: time until the earliest refusal ends, at least 1, in s
    retry_after_s: float


class LocalCrashTracker:
    """Track crashes observed by this node and refuse a fingerprint after two of them.

    A caller may send the same request again before its crashes are confirmed. Until then, only
    this tracker can refuse the request.
    """

    def __init__(self) -> None:
        self._crashes: dict[bytes, list[float]] = {}

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def record(self, fingerprint: bytes, now: float) -> None:
        """Record that an upstream crashed while running the request."""
        if len(self._crashes) >= _MAX_SUSPECTS and fingerprint not in self._crashes:
            del self._crashes[next(iter(self._crashes))]
        recent_times = [
            at for at in self._crashes.pop(fingerprint, ()) if now - at < _LOCAL_WINDOW_S
        ]
        self._crashes[fingerprint] = [*recent_times, now]

    def clear(self, fingerprint: bytes) -> None:
        """Forget the crashes of a fingerprint because an equal request was answered."""
        self._crashes.pop(fingerprint, None)

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether the request must be refused at the time ``now``, in s."""
        crash_times = self._crashes.get(fingerprint)
        if crash_times is None:
            return False
        if now - crash_times[-1] >= _LOCAL_WINDOW_S:
            del self._crashes[fingerprint]
            return False
        return len(crash_times) >= _CRASH_THRESHOLD


class CrashRegistry:
    """Registry of confirmed crashes by fingerprint, replicated to every node.

    The node that forwarded a call reports which request was in flight when the connection to an
    upstream was reset. The node of that upstream confirms the report if the process ended
    without draining. Each node forwards both messages once to all its other peers.
    """

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        #: the current view for calls; replaced, never modified, so that threads need no lock
        self.view = CrashView(frozenset(), frozenset(), 0.0)
        #: confirmed crashes, as node and incarnation of the upstream
        self._suspects: SuspectTable[tuple[str, int]] = SuspectTable(
            is_conclusive=lambda crashes: len(crashes) >= _CRASH_THRESHOLD,
            initial_refusal_s=_INITIAL_REFUSAL_S,
        )
        self._seen_messages: RecentValues[CrashNotice | CrashCleared] = RecentValues(
            _MAX_SEEN_MESSAGES
        )
        #: reports about the local upstream that are not confirmed yet, with the time of receipt
        self._unconfirmed_reports: dict[CrashNotice, float] = {}
        #: times at which the local upstream ended without draining, by incarnation
        self._crash_times: dict[int, float] = {}
        self._upstream_state: UpstreamState | None = None
        self._upstream_process = 0
        self._upstream_incarnation = 0
        self._report_tokens = _REPORT_BURST
        self._tokens_refilled_at = 0.0

    @classmethod
    def from_tables(cls, tables: Tables) -> CrashRegistry:
        """Create an empty registry."""
        return cls(tables)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Process crashes observed here, messages from peers and changes of the local upstream."""
        match event:
            case CrashObserved():
                return self._report_crash(event, now)
            case SuspectRequestAnswered():
                return self._clear_answered(event.fingerprint, now)
            case MessageReceived(message=CrashNotice() as notice):
                return self._handle_notice(notice, now, sender=event.peer)
            case MessageReceived(message=CrashCleared() as cleared):
                return self._handle_cleared(cleared, now, sender=event.peer)
            case UpstreamAnnounced():
                return self._handle_announcement(event, now)
            case UpstreamLost():
                return self._handle_upstream_lost(now)
            case _:
                return []

    def tick(self, now: float) -> list[Command]:
        """Expire refusals, suspects, unconfirmed reports and crash times."""
        self._update_incarnation()
        if not self._suspects and not self._unconfirmed_reports and not self._crash_times:
            return []

        self._unconfirmed_reports = {
            n: at
            for n, at in self._unconfirmed_reports.items()
            if now - at < _CONFIRMATION_WINDOW_S
        }
        self._crash_times = {
            i: at for i, at in self._crash_times.items() if now - at < _CONFIRMATION_WINDOW_S
        }
        if self._suspects.expire(now):
            self._update_view(now)
        return []

    def _update_incarnation(self) -> None:
        local_member = self._tables.members.get(self._tables.identity.node)
        if local_member is not None and local_member.upstream is not None:
            self._upstream_incarnation = local_member.upstream.incarnation

    def _report_crash(self, event: CrashObserved, now: float) -> list[Command]:
        notice = CrashNotice(event.fingerprint, event.node, event.incarnation, confirmed=False)
        self._report_tokens += (now - self._tokens_refilled_at) * _REPORTS_PER_S
        self._report_tokens = min(_REPORT_BURST, self._report_tokens)
        self._tokens_refilled_at = now
        if self._report_tokens < 1.0:
            return []
        self._report_tokens -= 1.0
        return self._handle_notice(notice, now, sender="")

    def _handle_notice(self, notice: CrashNotice, now: float, *, sender: str) -> list[Command]:
        if not self._seen_messages.add(notice):
            return []
        if notice.confirmed:
            return [*self._forward(notice, sender), *self._count_crash(notice, now)]
        if notice.node != self._tables.identity.node:
            return self._forward(notice, sender)
        if notice.incarnation in self._crash_times:
            return self._confirm(notice, now)
        self._unconfirmed_reports[notice] = now
        return []

    def _handle_announcement(self, event: UpstreamAnnounced, now: float) -> list[Command]:
        is_new_process = self._upstream_process not in (0, event.process)
        was_draining = self._upstream_state in (UpstreamState.DRAINING, None)
        self._upstream_process = event.process
        self._upstream_state = event.state
        return self._handle_local_crash(now) if is_new_process and not was_draining else []

    def _handle_upstream_lost(self, now: float) -> list[Command]:
        was_draining = self._upstream_state in (UpstreamState.DRAINING, None)
        self._upstream_state = None
        return [] if was_draining else self._handle_local_crash(now)

    def _handle_local_crash(self, now: float) -> list[Command]:
        incarnation = self._upstream_incarnation
        self._crash_times[incarnation] = now
        confirmable = [
            notice for notice in self._unconfirmed_reports if notice.incarnation == incarnation
        ]
        commands: list[Command] = []
        for notice in confirmable:
            del self._unconfirmed_reports[notice]
            commands.extend(self._confirm(notice, now))
        return commands

    def _confirm(self, notice: CrashNotice, now: float) -> list[Command]:
        confirmed = CrashNotice(notice.fingerprint, notice.node, notice.incarnation, confirmed=True)
        return self._handle_notice(confirmed, now, sender="")

    def _count_crash(self, notice: CrashNotice, now: float) -> list[Command]:
        crash = notice.node, notice.incarnation
        refusal_s = self._suspects.add(notice.fingerprint, crash, now)
        self._update_view(now)
        return [_make_refusal_note(notice, refusal_s)] if refusal_s else []

    def _clear_answered(self, fingerprint: bytes, now: float) -> list[Command]:
        if fingerprint not in self._suspects or self._suspects.is_refused(fingerprint):
            return []
        crashes = tuple(sorted(self._suspects.get_crashes(fingerprint)))
        return self._handle_cleared(CrashCleared(fingerprint, crashes), now, sender="")

    def _handle_cleared(self, cleared: CrashCleared, now: float, *, sender: str) -> list[Command]:
        if not self._seen_messages.add(cleared):
            return []
        if not self._suspects.is_refused(cleared.fingerprint):
            self._suspects.discard(cleared.fingerprint, cleared.crashes)
            self._update_view(now)
        return self._forward(cleared, sender)

    def _forward(self, message: CrashNotice | CrashCleared, sender: str) -> list[Command]:
        return [Send(peer, message) for peer in self._tables.links if peer != sender]

    def _update_view(self, now: float) -> None:
        refused = self._suspects.list_refused()
        remaining_s = [self._suspects.get_refusal_time(key, now) for key in refused]
        self.view = CrashView(
            refused=refused,
            suspected=self._suspects.list_suspected(),
            retry_after_s=max(1.0, min(remaining_s, default=0.0)),
        )


def _make_refusal_note(notice: CrashNotice, time_s: float) -> WriteLogLine:
    return WriteLogLine(
        "warning",
        "request refused because it crashes upstreams",
        {"fingerprint": notice.fingerprint.hex(), "peer": notice.node, "time_s": time_s},
    )
