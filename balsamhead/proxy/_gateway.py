"""Run a caller's request: admission, attempts, and the response or refusal."""

from __future__ import annotations

import contextlib
import json
import math
import threading
import time
from typing import TYPE_CHECKING, NamedTuple

from balsamhead.proxy._crash import LocalCrashTracker
from balsamhead.proxy._exchange import (
    AttemptResult,
    CallerBodyError,
    OutgoingRequest,
    UpstreamResponse,
    buffer_small_response,
    encode_request_head,
    forward_response,
    run_attempt,
)
from balsamhead.proxy._http import CHUNKED, FramingError, encode_chunk, iter_body
from balsamhead.proxy._stream import SendError, send_all
from balsamhead.routing import (
    AttemptOutcome,
    Call,
    CallPolicy,
    Endpoint,
    PassThrough,
    Refusal,
    Retry,
    make_refusal,
)
from balsamhead.util.sockets import reset_on_close
from balsamhead.util.suspects import hash_parts

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from balsamhead.document import Route
    from balsamhead.proxy._config import ProxyConfig
    from balsamhead.proxy._crash import CrashView
    from balsamhead.proxy._dispatch import Dispatcher, Slot, Target
    from balsamhead.proxy._http import RequestHead
    from balsamhead.proxy._pool import ConnectionPool, UpstreamConnection
    from balsamhead.proxy._stream import DeadlineReader

__all__ = ("Gateway", "compute_fingerprint", "encode_refusal")

#: maximum number of nodes that forward one call, which ends forwarding loops
_MAX_DEPTH = 32
#: leading bytes of a body that are part of the request's fingerprint
_FINGERPRINT_BYTES = 1024
#: timeout for sending a refusal to the caller, in s
_REFUSAL_SEND_TIMEOUT_S = 1.0
#: timeout of the connection that checks whether an upstream still runs, in s
_PROBE_TIMEOUT_S = 0.2


class _Body(NamedTuple):
    """Caller's request body, of which only the first part may have been read."""

    #: the whole body or its first part, as sent to the upstream
    buffered: bytes
    #: length of the body sent to the upstream in bytes, or CHUNKED
    length: int
    #: the body after ``buffered``, as sent to the upstream; None if nothing follows
    stream: Iterator[bytes] | None


class _CallContext(NamedTuple):
    """State that all attempts of one call share."""

    head: RequestHead
    route: Route
    body: _Body
    request: OutgoingRequest
    call: Call
    deadline_at: float
    sock: socket.socket


def compute_fingerprint(head: RequestHead, route: str, body: bytes) -> bytes:
    """Compute the digest that identifies equal requests.

    :param body: the buffered part of the body; only its first 1024 bytes count.
    """
    return hash_parts(head.method.encode(), route.encode(), head.target, body[:_FINGERPRINT_BYTES])


def encode_refusal(refusal: Refusal, *, keep_alive: bool, with_body: bool = True) -> bytes:
    """Encode a refusal as an HTTP response with a JSON body."""
    kind = refusal.kind
    payload = {"code": refusal.code, "reason": kind.reason, "outcome": str(refusal.outcome)}
    body = json.dumps(payload).encode()
    lines = [
        b"HTTP/1.1 %d Refused\r\n" % kind.status,
        b"Content-Type: application/json\r\n",
        b"Content-Length: %d\r\n" % len(body),
        b"X-Balsamhead-Outcome: %b\r\n" % refusal.outcome.encode(),
    ]
    if refusal.retry_after_s:
        lines.append(b"Retry-After: %d\r\n" % math.ceil(refusal.retry_after_s))
    lines.append(b"Connection: %b\r\n\r\n" % (b"keep-alive" if keep_alive else b"close"))
    return b"".join(lines) + (body if with_body else b"")


class Gateway:
    """Run the calls of all caller connections; each worker thread runs one call at a time."""

    def __init__(self, cfg: ProxyConfig, dispatcher: Dispatcher, pool: ConnectionPool) -> None:
        self._cfg = cfg
        self._dispatcher = dispatcher
        self._pool = pool
        self.is_stopping = False
        self.crash_view: CrashView | None = None
        #: number of refusals by code and outcome
        self.refusal_counts: dict[tuple[str, str], int] = {}
        #: number of attempts after the first one of a call
        self.retries = 0
        self._counter_lock = threading.Lock()
        self._local_crashes = LocalCrashTracker()

    def serve(self, head: RequestHead, sock: socket.socket, reader: DeadlineReader) -> bool:
        """Run one request and send its response or refusal to the caller.

        :returns: whether the caller's connection can carry another request.
        """
        route_or_refusal = self._admit(head)
        if isinstance(route_or_refusal, Refusal):
            return self._refuse(head, sock, route_or_refusal, is_body_read=head.length == 0)
        try:
            return self._serve_call(head, route_or_refusal, sock, reader)
        finally:
            self._dispatcher.finish_call(route_or_refusal)

    def _admit(self, head: RequestHead) -> Route | Refusal:
        if self.is_stopping:
            return make_refusal("stopping", retry_after_s=1.0)
        snapshot = self._dispatcher.snapshot
        if snapshot.offset < 0:
            return make_refusal("configuration-missing", retry_after_s=1.0)
        match = snapshot.routes.match(host=head.host, path=head.path, method=head.method)
        if match.route is None:
            return make_refusal("method-not-allowed" if match.methods else "route-unknown")
        if head.depth >= _MAX_DEPTH:
            return make_refusal("too-many-hops")
        if head.length > self._cfg.max_body_bytes:
            return make_refusal("body-too-large")
        if not self._dispatcher.admit_call(match.route):
            return make_refusal("overloaded", retry_after_s=1.0)
        return match.route

    def _serve_call(
        self, head: RequestHead, route: Route, sock: socket.socket, reader: DeadlineReader
    ) -> bool:
        timeout_ms = float(route.deadline_ms)
        if head.deadline_ms is not None:
            timeout_ms = min(timeout_ms, head.deadline_ms)
        deadline_at = time.monotonic() + timeout_ms / 1000
        try:
            body = self._read_body(head, sock, reader, deadline_at)
        except CallerBodyError as exc:
            if not exc.code:
                return False
            return self._refuse(head, sock, make_refusal(exc.code), is_body_read=False)

        policy = CallPolicy(
            idempotent=route.idempotent,
            replayable=body.stream is None,
            forwarded=head.depth > 0,
            deadline_at=deadline_at,
        )
        call = Call(policy, self._dispatcher.retry_budget)
        encoded = encode_request_head(head, length=body.length)
        request = OutgoingRequest(head.method, encoded, body.buffered, body.stream)
        ctx = _CallContext(head, route, body, request, call, deadline_at, sock)
        return self._run_attempts(ctx)

    def _run_attempts(self, ctx: _CallContext) -> bool:
        refusal = self._find_crash_refusal(ctx)
        if refusal is not None:
            return self._refuse_call(ctx, refusal)
        target = self._dispatcher.choose_target(ctx.route)
        if isinstance(target, Refusal):
            return self._refuse_call(ctx, target)

        excluded: list[Endpoint] = []
        last_refusal: Refusal | None = None
        while True:
            slot = self._dispatcher.acquire(target, excluded, ctx.deadline_at)
            if isinstance(slot, Refusal):
                cause = last_refusal or slot
                final_refusal = ctx.call.make_refusal(cause.code, retry_after_s=cause.retry_after_s)
                return self._refuse_call(ctx, final_refusal)
            result = self._run_attempt(ctx, target, slot)
            if isinstance(result, bool):
                return result
            if isinstance(result, Refusal):
                return self._refuse_call(ctx, result)
            with self._counter_lock:
                self.retries += 1
            last_refusal = ctx.call.make_refusal(result.code, retry_after_s=1.0)
            refusal = self._find_crash_refusal(ctx)
            if refusal is not None:
                final_refusal = ctx.call.make_refusal(
                    refusal.code, retry_after_s=refusal.retry_after_s
                )
                return self._refuse_call(ctx, final_refusal)
            excluded.append(slot.endpoint)

    def _find_crash_refusal(self, ctx: _CallContext) -> Refusal | None:
        view = self.crash_view
        has_fingerprints = view is not None and view.refused
        if not has_fingerprints and not self._local_crashes:
            return None
        fingerprint = compute_fingerprint(ctx.head, ctx.route.name, ctx.body.buffered)
        if view is not None and fingerprint in view.refused:
            return make_refusal("request-crashes-upstreams", retry_after_s=view.retry_after_s)
        if self._local_crashes.is_refused(fingerprint, time.monotonic()):
            return make_refusal("request-crashes-upstreams", retry_after_s=1.0)
        return None

    def _run_attempt(self, ctx: _CallContext, target: Target, slot: Slot) -> bool | Refusal | Retry:
        """Run one attempt.

        :returns: if the call is over, whether the caller's connection can carry another
            request; otherwise the refusal to send or the decision to retry.
        """
        call = ctx.call
        call.begin_attempt()
        conn = self._connect(ctx, target, slot)
        if conn is None:
            self._dispatcher.record_refused_connection(slot)
            self._dispatcher.release(slot)
            verdict = call.decide(AttemptOutcome.NOT_SENT, time.monotonic())
            assert not isinstance(verdict, PassThrough)
            return verdict

        started_at = time.monotonic()
        remaining_ms = (ctx.deadline_at - started_at) * 1000
        try:
            result = run_attempt(
                conn,
                ctx.request,
                caller=ctx.sock,
                remaining_ms=remaining_ms,
                deadline_at=ctx.deadline_at,
            )
        except CallerBodyError as exc:
            call.may_have_run = True
            self._dispatcher.cancel_call(slot, conn)
            return call.make_refusal(exc.code) if exc.code else False
        return self._handle_result(ctx, target, slot, conn, result, started_at)

    def _connect(self, ctx: _CallContext, target: Target, slot: Slot) -> UpstreamConnection | None:
        cfg = self._cfg
        max_age_s = cfg.idle_timeout_s if ctx.route.idempotent else cfg.non_idempotent_reuse_s
        key = (target.service.name, target.version)
        conn = self._pool.acquire(key, slot.endpoint, max_age_s=max_age_s)
        if conn is not None:
            return conn
        timeout_s = min(cfg.connect_timeout_s, ctx.deadline_at - time.monotonic())
        return self._pool.open(slot.endpoint, timeout_s=timeout_s)

    def _handle_result(
        self,
        ctx: _CallContext,
        target: Target,
        slot: Slot,
        conn: UpstreamConnection,
        result: AttemptResult,
        started_at: float,
    ) -> bool | Refusal | Retry:
        latency_ms = (time.monotonic() - started_at) * 1000
        response: UpstreamResponse | None = None
        if result.end is AttemptOutcome.ANSWERED:
            assert result.response is not None
            buffered = buffer_small_response(
                conn, result.response, max_buffered_bytes=self._cfg.max_buffered_body_bytes
            )
            if isinstance(buffered, AttemptResult):
                result = buffered
            else:
                response = buffered
        if response is not None:
            failed = response.head.status >= 500
            self._dispatcher.record_response(target, slot, latency_ms=latency_ms, failed=failed)
            self._clear_suspicion(ctx)
            return self._forward_response(ctx, target, slot, conn, response)

        self._record_failed_attempt(ctx, target, slot, conn, result)
        verdict = ctx.call.decide(result.end, time.monotonic())
        if result.end is AttemptOutcome.CALLER_LEFT:
            return False
        assert not isinstance(verdict, PassThrough)
        return verdict

    def _clear_suspicion(self, ctx: _CallContext) -> None:
        view = self.crash_view
        has_fingerprints = view is not None and view.suspected
        if not has_fingerprints and not self._local_crashes:
            return
        fingerprint = compute_fingerprint(ctx.head, ctx.route.name, ctx.body.buffered)
        self._local_crashes.clear(fingerprint)
        if view is not None and fingerprint in view.suspected:
            self._dispatcher.record_suspect_answered(fingerprint)

    def _record_failed_attempt(
        self,
        ctx: _CallContext,
        target: Target,
        slot: Slot,
        conn: UpstreamConnection,
        result: AttemptResult,
    ) -> None:
        dispatcher = self._dispatcher
        match result.end:
            case AttemptOutcome.SHED:
                dispatcher.record_shed(target, slot)
            case AttemptOutcome.TIMED_OUT:
                dispatcher.record_failure(target, slot, crashed=False)
                dispatcher.cancel_call(slot, conn)
                return
            case AttemptOutcome.CALLER_LEFT:
                dispatcher.cancel_call(slot, conn)
                return
            case AttemptOutcome.LOST | AttemptOutcome.MALFORMED:
                self._record_lost_connection(ctx, target, slot, was_reset=result.was_reset)
            case _:
                pass
        conn.close()
        dispatcher.release(slot)

    def _record_lost_connection(
        self, ctx: _CallContext, target: Target, slot: Slot, *, was_reset: bool
    ) -> None:
        crashed = was_reset and not self._accepts_connections(slot.endpoint)
        self._dispatcher.record_failure(target, slot, crashed=crashed)
        if was_reset:
            fingerprint = compute_fingerprint(ctx.head, ctx.route.name, ctx.body.buffered)
            self._dispatcher.record_crash(slot, fingerprint)
            if crashed:
                self._local_crashes.record(fingerprint, time.monotonic())

    def _accepts_connections(self, endpoint: Endpoint) -> bool:
        conn = self._pool.open(endpoint, timeout_s=_PROBE_TIMEOUT_S)
        if conn is None:
            return False
        conn.close()
        return True

    def _forward_response(
        self,
        ctx: _CallContext,
        target: Target,
        slot: Slot,
        conn: UpstreamConnection,
        response: UpstreamResponse,
    ) -> bool:
        may_keep_alive = ctx.head.keep_alive and not self.is_stopping and not conn.must_close
        is_complete = False
        keep_alive = False
        try:
            keep_alive = forward_response(
                response,
                conn,
                caller=ctx.sock,
                request=ctx.head,
                keep_alive=may_keep_alive,
                deadline_at=ctx.deadline_at,
            )
            is_complete = True
        except (SendError, EOFError, OSError, FramingError):
            # part of the response may have been sent already; the connection is closed without the
            # rest, so that the caller sees a truncated response
            if ctx.head.minor == 0:
                # the end of the connection may be the end of the response
                reset_on_close(ctx.sock)
                ctx.sock.close()
        is_response_received = is_complete or response.body is not None
        if is_response_received and response.head.keep_alive and not conn.must_close:
            max_idle = target.endpoints.connection_budget
            self._pool.release((target.service.name, target.version), conn, max_idle=max_idle)
            self._dispatcher.release(slot)
        elif is_response_received:
            conn.close()
            self._dispatcher.release(slot)
        else:
            self._dispatcher.cancel_call(slot, conn)
        return keep_alive and is_complete

    def _read_body(
        self,
        head: RequestHead,
        sock: socket.socket,
        reader: DeadlineReader,
        deadline_at: float,
    ) -> _Body:
        if head.length == 0:
            return _Body(b"", 0, None)
        if head.expects_continue and head.minor == 1:
            self._send_continue(sock, deadline_at)
        reader.set_deadline(deadline_at)
        limit = self._cfg.max_buffered_body_bytes
        pieces = _translate_body_errors(iter_body(head.length, reader.readline, reader.read))
        if 0 < head.length <= limit:
            return _Body(b"".join(pieces), head.length, None)
        if head.length > limit:
            return _Body(b"", head.length, pieces)
        return self._read_chunked_body(pieces)

    def _read_chunked_body(self, pieces: Iterator[bytes]) -> _Body:
        buffered: list[bytes] = []
        size = 0
        for piece in pieces:
            buffered.append(piece)
            size += len(piece)
            if size > self._cfg.max_buffered_body_bytes:
                stream = _encode_remaining_chunks(pieces, self._cfg.max_body_bytes - size)
                return _Body(b"".join(encode_chunk(p) for p in buffered), CHUNKED, stream)
        return _Body(b"".join(buffered), size, None)

    def _send_continue(self, sock: socket.socket, deadline_at: float) -> None:
        try:
            send_all(sock, b"HTTP/1.1 100 Continue\r\n\r\n", deadline_at)
        except SendError as exc:
            raise CallerBodyError("") from exc

    def _refuse_call(self, ctx: _CallContext, refusal: Refusal) -> bool:
        return self._refuse(ctx.head, ctx.sock, refusal, is_body_read=ctx.body.stream is None)

    def _refuse(
        self, head: RequestHead, sock: socket.socket, refusal: Refusal, *, is_body_read: bool
    ) -> bool:
        key = (refusal.code, refusal.outcome.value)
        with self._counter_lock:
            self.refusal_counts[key] = self.refusal_counts.get(key, 0) + 1
        keep_alive = head.keep_alive and is_body_read and not self.is_stopping
        with_body = head.method != "HEAD"
        encoded = encode_refusal(refusal, keep_alive=keep_alive, with_body=with_body)
        with contextlib.suppress(SendError):
            send_all(sock, encoded, time.monotonic() + _REFUSAL_SEND_TIMEOUT_S)
            return keep_alive
        return False


def _translate_body_errors(pieces: Iterator[bytes]) -> Iterator[bytes]:
    try:
        yield from pieces
    except FramingError as exc:
        raise CallerBodyError(exc.code) from exc
    except TimeoutError as exc:
        raise CallerBodyError("request-timeout") from exc
    except (EOFError, OSError) as exc:
        raise CallerBodyError("") from exc


def _encode_remaining_chunks(pieces: Iterator[bytes], remaining_bytes: int) -> Iterator[bytes]:
    for piece in pieces:
        remaining_bytes -= len(piece)
        if remaining_bytes < 0:
            raise CallerBodyError("body-too-large")
        yield encode_chunk(piece)
    yield b"0\r\n\r\n"
