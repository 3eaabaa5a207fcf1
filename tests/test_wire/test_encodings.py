"""Check that the encoding of each message and record stays the same from release to release.

Nodes of two releases run at the same time, and the log and the store keep what earlier releases
wrote. Renaming a field changes an encoding as a map, moving one changes an encoding as an array,
and retyping one may change both. ``encodings.txt`` holds the bytes of one sample of each message.
"""

from __future__ import annotations

import zlib
from pathlib import Path
from typing import Any, Final

import cbor2
import msgspec
import pytest

from balsamhead import operator_responses, wire
from balsamhead.distribution import _resource
from balsamhead.document import _model as document_rows
from balsamhead.document import prepare_document
from balsamhead.fold import _record, _state
from balsamhead.link import _handshake
from balsamhead.log import _model as log_rows
from balsamhead.mesh import (
    _frames,
    _freshness_exchange,
    _link_headers,
    _peers,
    _quota_exchange,
    _rollout_exchange,
    _settings,
    _state_history,
)
from balsamhead.mesh import model as mesh_rows
from balsamhead.operator import _protocol
from balsamhead.platform import configuration
from balsamhead.platform import messages as platform_messages
from balsamhead.platform import store as platform_store
from balsamhead.proxy import _announce
from balsamhead.settings import NodeSettings
from balsamhead.util import codec
from tests.test_wire.builders import build_sample, list_fields

EXPECTED: Final = Path(__file__).with_name("encodings.txt")

CBOR: Final[dict[str, Any]] = {
    "peer/announce": wire.Announce,
    "peer/crash": wire.CrashNotice,
    "peer/crash-cleared": wire.CrashCleared,
    "peer/delta": wire.Delta,
    "peer/evidence": wire.EvidenceReport,
    "peer/heartbeat": wire.Heartbeat,
    "peer/in-force": wire.InForceReport,
    "peer/member-digest": wire.MemberDigest,
    "peer/member-pull": wire.MemberPull,
    "peer/member-update": wire.MemberUpdate,
    "peer/probe": wire.Probe,
    "peer/probe-result": wire.ProbeResult,
    "peer/pull": wire.Pull,
    "peer/report-pull": wire.ReportPull,
    "peer/report-reply": wire.ReportReply,
    "peer/usage": wire.UsageReport,
    "peer/withdrawn": wire.WithdrawnNotice,
    "handshake/hello": _handshake.Hello,
    "handshake/proof": _handshake.Proof,
    "handshake/refusal": _handshake.Refusal,
    "record/publish": _record.PublishDocument,
    "record/step": _record.StepRollout,
    "record/finish": _record.FinishRollout,
    "record/take-back": _record.RollBackRollout,
    "record/pause": _record.PauseRollout,
    "record/resume": _record.ResumeRollout,
    "record/use-rules": _record.SetRulesVersion,
    "record/checkpoint": _record.Checkpoint,
    "resource/head": _resource._Header,
    "resource/region": document_rows.Region,
    "resource/service": document_rows.Service,
    "resource/route": document_rows.Route,
    "resource/rollout": _state.Rollout,
    "resource/withdrawn": _state.Withdrawal,
    "document": document_rows.Document,
    "log/batch": log_rows.Batch,
    "store/node": mesh_rows.NodeRecord,
}

JSON: Final[dict[str, Any]] = {
    "operator/publish": operator_responses.PublishResponse,
    "operator/status": operator_responses.StatusResponse,
    "operator/report": operator_responses.ReportResponse,
    "operator/promote-body": _protocol.PromoteBody,
    "operator/rollout-body": _protocol.RolloutBody,
    "operator/error-body": _protocol.ErrorBody,
    "announce": _announce._Announcement,
    "platform/order": platform_messages._Order,
    "platform/status": platform_messages._Status,
    "platform/heartbeat": platform_messages._Heartbeat,
    "store/appended": platform_store._AppendResponse,
    "store/end": platform_store._ConflictResponse,
    "store/page": platform_store._Page,
}

FRAMES: Final[dict[str, tuple[_frames.FrameKind, Any]]] = {
    "frame/hello": (_frames.FrameKind.HELLO, _peers.Hello),
    "frame/beat": (_frames.FrameKind.HEARTBEAT, _peers.Heartbeat),
    "frame/beat-answer": (_frames.FrameKind.HEARTBEAT_REPLY, _peers.Heartbeat),
    "frame/upstream": (_frames.FrameKind.UPSTREAM, tuple[_peers.UpstreamView | None]),
    "frame/upstream-notice": (_frames.FrameKind.UPSTREAM_NOTICE, mesh_rows.UpstreamNotice),
    "frame/upstream-recall": (_frames.FrameKind.UPSTREAM_RECALL, mesh_rows.UpstreamNotice),
    "frame/load": (_frames.FrameKind.LOAD, mesh_rows.Load),
    "frame/call": (_frames.FrameKind.CALL, _link_headers.CallHeader),
    "frame/call-body": (_frames.FrameKind.CALL_BODY, None),
    "frame/cancel": (_frames.FrameKind.CANCEL, None),
    "frame/answer": (_frames.FrameKind.RESPONSE, _link_headers.ResponseHeader),
    "frame/answer-body": (_frames.FrameKind.RESPONSE_BODY, None),
    "frame/answer-end": (_frames.FrameKind.RESPONSE_END, None),
    "frame/answer-cut": (_frames.FrameKind.RESPONSE_TRUNCATED, None),
    "frame/refused": (_frames.FrameKind.REFUSED, _link_headers.RefusedHeader),
    "frame/rejected": (_frames.FrameKind.REJECTED, _link_headers.CodeHeader),
    "frame/lost": (_frames.FrameKind.LOST, _link_headers.CodeHeader),
    "frame/credit": (_frames.FrameKind.CREDIT, None),
    "frame/features": (_frames.FrameKind.FEATURES, tuple[str, ...]),
    "frame/call-stream": (_frames.FrameKind.CALL_STREAM, _link_headers.CallHeader),
    "frame/call-credit": (_frames.FrameKind.CALL_CREDIT, None),
    "frame/call-end": (_frames.FrameKind.CALL_END, None),
    "frame/withdrawn": (_frames.FrameKind.WITHDRAWN, _rollout_exchange._WithdrawnHeader),
    "frame/freshness-query": (
        _frames.FrameKind.FRESHNESS_QUERY,
        _freshness_exchange._QueryHeader,
    ),
    "frame/freshness": (_frames.FrameKind.FRESHNESS, _freshness_exchange._ResponseHeader),
    "frame/config": (_frames.FrameKind.CONFIG, None),
    "frame/config-pull": (_frames.FrameKind.CONFIG_PULL, tuple[int]),
    "frame/quota-grant": (_frames.FrameKind.QUOTA_GRANT, _quota_exchange.QuotaGrant),
    "frame/quota-request": (_frames.FrameKind.QUOTA_REQUEST, _quota_exchange.QuotaRequest),
    "frame/rollout": (_frames.FrameKind.ROLLOUT, _rollout_exchange._RolloutHeader),
    "frame/evidence": (_frames.FrameKind.EVIDENCE, _rollout_exchange._EvidenceHeader),
}

#: a configuration of the first release
EARLIER_CONFIGURATION: Final = (
    b'{"version":1,"routes":{"text-2":{"host":"text-2","path_prefix":"text-3","kind":"text-4",'
    b'"timeout":"text-5","target_latency":"text-6","priority":7,"service":"text-8","backends":['
    b'{"service":"text-9","weight":10.25},{"service":"text-10","weight":11.25}],'
    b'"max_attempts":10}},"services":{"text-3":{"text-3":"text-3"}},"limits":{'
    b'"max_header_bytes":4,"max_body_bytes":5,"header_timeout":"text-6",'
    b'"idle_timeout":"text-7"}}'
)

#: types whose field names are keys of documents or settings, or are shown to operators
KEYED: Final[dict[str, Any]] = {
    "document/document": document_rows.Document,
    "document/objective": document_rows.Objective,
    "document/region": document_rows.Region,
    "document/rollout": document_rows.RolloutPolicy,
    "document/route": document_rows.Route,
    "document/service": document_rows.Service,
    "settings/mesh": _settings.MeshSettings,
    "settings/node": NodeSettings,
}


def encode_sample(sample: Any) -> bytes:
    """Encode a sample as the nodes do."""
    match sample:
        case _record.PublishDocument() | _record.Checkpoint():
            return _record.encode_record(sample)
        case document_rows.Document():
            return codec.encode(prepare_document(sample))
        case _:
            return _resource._encode_row(sample)


def encode_samples() -> dict[str, bytes]:
    samples = {label: encode_sample(build_sample(kind)) for label, kind in CBOR.items()}
    for label, kind in JSON.items():
        samples[label] = msgspec.json.encode(build_sample(kind))
    for label, (number, kind) in FRAMES.items():
        head: Any = None if kind is None else build_sample(kind)
        if kind is _link_headers.CallHeader:
            head = _link_headers.make_call_header(head.call, head.body_bytes)
        samples[label] = _frames.encode_frame(number, 7, head, b"body")
    change = _state_history.encode_delta(build_sample(_state_history.StateDelta))
    samples["change"] = zlib.decompress(change)
    for label, kind in KEYED.items():
        samples[label] = " ".join(list_fields(kind)).encode()
    for rollout in (build_sample(mesh_rows.Rollout, number) for number in (1, 2, 3)):
        key, value = platform_messages.encode_rollout_status(rollout)
        samples[f"status/{rollout.phase.value}"] = key.encode() + b" " + value
    return samples


def read_expected() -> dict[str, str]:
    return dict(line.split(" ", 1) for line in EXPECTED.read_text().splitlines())


@pytest.fixture(scope="module")
def samples() -> dict[str, bytes]:
    return encode_samples()


def test_each_sample_is_listed(samples: dict[str, bytes]) -> None:
    assert set(read_expected()) == set(samples)


@pytest.mark.parametrize("label", sorted(read_expected()))
def test_message_keeps_its_bytes(samples: dict[str, bytes], label: str) -> None:
    assert samples[label].hex() == read_expected()[label]


@pytest.mark.parametrize("label", sorted(CBOR))
def test_earlier_bytes_decode_to_the_sample(label: str) -> None:
    data = bytes.fromhex(read_expected()[label])
    assert codec.decode(data, CBOR[label], step="test") == build_sample(CBOR[label])


@pytest.mark.parametrize("label", sorted(JSON))
def test_earlier_json_decodes_to_the_sample(label: str) -> None:
    data = bytes.fromhex(read_expected()[label])
    assert msgspec.json.decode(data, type=JSON[label]) == build_sample(JSON[label])


@pytest.mark.parametrize("label", sorted(FRAMES))
def test_earlier_frames_decode_to_the_sample(label: str) -> None:
    (frame,) = _frames.extract_frames(bytearray.fromhex(read_expected()[label]))
    number, kind = FRAMES[label]
    assert (frame.kind, frame.stream, frame.body) == (number, 7, b"body")
    if kind is not None:
        assert _frames.decode_header(frame, kind, peer="test") == build_sample(kind)


def test_earlier_configuration_decodes_to_its_rows() -> None:
    raw = msgspec.json.decode(EARLIER_CONFIGURATION, type=configuration._Config)
    assert (raw.version, raw.limits) == (1, configuration._Limits(4, 5, "text-6", "text-7"))
    assert bytes(raw.services["text-3"]) == b'{"text-3":"text-3"}'
    route = msgspec.json.decode(raw.routes["text-2"], type=configuration._Route)
    assert (route.host, route.path_prefix, route.kind) == ("text-2", "text-3", "text-4")
    assert (route.timeout, route.target_latency, route.priority) == ("text-5", "text-6", 7)
    assert (route.service, route.max_attempts) == ("text-8", 10)
    assert [(row.service, row.weight) for row in route.backends] == [
        ("text-9", 10.25),
        ("text-10", 11.25),
    ]


# Nodes of the release before reject a message with fields that they don't know.
def test_only_calls_that_need_them_carry_the_fields_of_this_release() -> None:
    call = build_sample(_link_headers.CallHeader).call
    plain, keyed = (
        _frames.encode_frame(_frames.FrameKind.CALL, 7, _link_headers.make_call_header(row, 0), b"")
        for row in (call, call._replace(account="acme", nested=True))
    )
    assert len(plain) < len(keyed)
    (frame,) = _frames.extract_frames(bytearray(keyed))
    header = _frames.decode_header(frame, _link_headers.CallHeader, peer="test")
    assert (header.call.account, header.call.nested) == ("acme", True)


def test_delta_with_the_fields_of_this_release_decodes_to_the_same() -> None:
    route = build_sample(mesh_rows.Route)._replace(allowed_regions=("east",), public=True)
    account = mesh_rows.Account("acme", 1, 5.0, 7.0, (b"0123456789abcdef",), ("east",))
    delta = build_sample(_state_history.StateDelta)._replace(
        changed={"a": route},
        evacuated=("east-a",),
        accounts=_state_history.AccountsDelta({"acme": account}, ("gone",)),
        cold_starts={"desk": mesh_rows.ColdStart(3.0, 5.5)},
        config_outdated=True,
    )
    data = _state_history.encode_delta(delta)
    assert _state_history.decode_delta(data, peer="test") == delta


# Nodes of the release before reject a route with a field that they don't know.
def test_only_routes_that_name_regions_carry_them() -> None:
    route = build_sample(document_rows.Route)
    document = build_sample(document_rows.Document)._replace(
        routes=(route, route._replace(name="text-2", regions=("east",)))
    )
    plain, restricted = cbor2.loads(codec.encode(prepare_document(document)))[3]
    assert (len(plain), restricted[8:]) == (8, [["east"]])
    record = build_sample(_record.PublishDocument)
    record = msgspec.structs.replace(record, document=document)
    assert _record.decode_record(_record.encode_record(record), offset=0) == record
    state = build_sample(_state.ConfigState)._replace(document=document)
    checkpoint = msgspec.structs.replace(build_sample(_record.Checkpoint), state=state)
    assert _record.decode_record(_record.encode_record(checkpoint), offset=0) == checkpoint
    resource = _resource._encode_row(document.routes[1])
    assert codec.decode(resource, document_rows.Route, step="test") == document.routes[1]


def test_earlier_change_decodes_to_the_sample() -> None:
    data = zlib.compress(bytes.fromhex(read_expected()["change"]))
    assert cbor2.loads(zlib.decompress(data))
    assert _state_history.decode_delta(data, peer="test") == build_sample(_state_history.StateDelta)
