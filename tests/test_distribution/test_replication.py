from __future__ import annotations

from balsamhead import events
from balsamhead.distribution import compute_manifest_digest, split_state
from balsamhead.distribution._reader import StreamReader
from balsamhead.fold import ConfigState, encode_record
from balsamhead.log import Batch, Entry
from balsamhead.wire import Announce, Delta, Message, Pull, Resource
from tests.test_distribution.builders import FakeNode, Mesh
from tests.test_fold.builders import build_document, build_publish, build_state, publish


def build_delta(state: ConfigState, *, base: bytes = b"", without: str = "") -> Delta:
    resources = {name: row for name, row in split_state(state).items() if name != without}
    digest = compute_manifest_digest(resources)
    return Delta(state.offset, digest, base, tuple(resources.values()), ())


def deliver(mesh: Mesh, node: FakeNode, message: Message) -> None:
    mesh.post(node, events.MessageReceived("n1", message))


def test_late_delta_to_an_older_version_is_ignored() -> None:
    mesh = Mesh.build(2)
    node = mesh.nodes["n0"]
    old = build_state(desk="v1")
    new = publish(old, build_document(desk="v2"), offset=3)
    deliver(mesh, node, build_delta(new))
    deliver(mesh, node, build_delta(old))
    assert node.tables.config == new


def test_older_version_from_the_log_is_ignored() -> None:
    mesh = Mesh.build(1)
    node = mesh.nodes["n0"]
    document = build_document(desk="v1")
    mesh.log.append("trial", encode_record(build_publish(document, base=-1)))
    newer = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    mesh.is_log_down = True
    mesh.run(2.0)
    deliver(mesh, node, build_delta(newer))
    mesh.is_log_down = False
    mesh.run(2.0)
    assert node.tables.config == newer


def test_delta_from_another_base_is_not_applied_and_a_pull_is_sent() -> None:
    mesh = Mesh.build(2)
    node = mesh.nodes["n0"]
    old = build_state(desk="v1")
    deliver(mesh, node, build_delta(old))
    newer = publish(old, build_document(desk="v2"), offset=3)
    newest = publish(newer, build_document(desk="v3", registry="v1"), offset=4)
    base = compute_manifest_digest(split_state(newer))
    changed = tuple(set(split_state(newest).values()) - set(split_state(newer).values()))
    digest = compute_manifest_digest(split_state(newest))
    deliver(mesh, node, Delta(newest.offset, digest, base, changed, ()))
    assert node.tables.config == old
    assert any(row[:2] == ("n0", "n1") for row in mesh.messages_in_flight)


def test_version_with_another_digest_is_refused() -> None:
    mesh = Mesh.build(2)
    delta = build_delta(build_state(desk="v1"))
    forged = Delta(delta.offset, b"x" * 16, b"", delta.changed, ())
    deliver(mesh, mesh.nodes["n0"], forged)
    assert mesh.get_config("n0").offset == -1
    assert mesh.notes[-1].message == "delta-refused"


def test_route_to_a_service_that_is_missing_is_refused() -> None:
    mesh = Mesh.build(2)
    state = build_state(desk="v1", registry="v1")
    deliver(mesh, mesh.nodes["n0"], build_delta(state, without="service/desk"))
    assert mesh.get_config("n0").offset == -1
    assert mesh.notes[-1].message == "delta-refused"


def test_resource_of_unknown_kind_is_refused() -> None:
    mesh = Mesh.build(2)
    resources = {**split_state(build_state(desk="v1")), "x/y": Resource("x/y", b"\xf6")}
    digest = compute_manifest_digest(resources)
    deliver(mesh, mesh.nodes["n0"], Delta(0, digest, b"", tuple(resources.values()), ()))
    assert mesh.get_config("n0").offset == -1


def test_nodes_converge_after_lost_announcements_and_withdrawals() -> None:
    mesh = Mesh.build(4, log_region="east")
    mesh.publish_first()
    mesh.publish("n0", build_document(desk="v2", registry="v1"))
    mesh.run(3.0)
    mesh.loss = 1.0
    mesh.publish("n0", build_document(desk="v2", registry="v2"))
    mesh.run(0.5)
    mesh.is_log_down = True
    mesh.post(mesh.nodes["n0"], events.RolloutRequested("b", "desk", "take-back", "op"))
    mesh.run(2.0)
    assert len(mesh.list_offsets()) > 1
    mesh.loss = 0.0
    mesh.run(30.0)
    assert len(mesh.list_offsets()) == 1
    assert all(("desk", "v2", 1) in node.tables.withdrawn for node in mesh.nodes.values())


def test_pull_is_answered_with_the_changed_resources() -> None:
    mesh = Mesh.build(2)
    mesh.publish_first()
    base = mesh.nodes["n0"].tables.config_digest
    mesh.publish("n0", build_document(desk="v2", registry="v1"))
    mesh.run(2.0)
    commands = mesh.nodes["n0"].system.handle(events.MessageReceived("n1", Pull(0, base)), mesh.now)
    delta = commands[0].message  # type: ignore[union-attr]
    assert isinstance(delta, Delta)
    assert {row.name for row in delta.changed} == {"head/", "service/desk", "rollout/desk"}


def test_outdated_peer_gets_an_announcement() -> None:
    mesh = Mesh.build(2)
    mesh.publish_first()
    mesh.messages_in_flight.clear()
    deliver(mesh, mesh.nodes["n0"], Announce(-1, b""))
    assert len(mesh.messages_in_flight) == 1


def test_reader_does_not_start_from_a_state_that_the_log_does_not_contain() -> None:
    initial_state = build_state(desk="v9")
    record = build_publish(build_document(desk="v1"), base=-1, record_id="other")
    reader = StreamReader(initial_state)
    batch = Batch(0, 1, (Entry(0, encode_record(record)),))
    while not reader.is_caught_up:
        reader.handle_batch(
            reader.next_offset, batch if reader.next_offset == 0 else batch._replace(entries=())
        )
    assert reader.state is not None
    assert reader.state.record_id == "other"


def test_pull_from_the_same_region_replaces_a_delayed_pull_from_another() -> None:
    mesh = Mesh.build(6)
    node = mesh.nodes["n0"]
    mesh.messages_in_flight.clear()
    node.tables.members = {}
    mesh.post(node, events.MessageReceived("n2", Announce(5, b"x")))
    assert mesh.messages_in_flight == []
    mesh.post(node, events.MessageReceived("n1", Announce(5, b"x")))
    assert [row[:2] for row in mesh.messages_in_flight] == [("n0", "n1")]
