from __future__ import annotations

import pytest

from balsamhead import events
from balsamhead.fold import Checkpoint, RolloutPhase, decode_record, get_generation
from balsamhead.operator_responses import StatusResponse, VersionCount
from tests.test_distribution.builders import PLACES, Mesh
from tests.test_fold.builders import build_document


def count_records(mesh: Mesh, kind: type) -> int:
    return sum(isinstance(decode_record(data, offset=0), kind) for _, data in mesh.appended)


def test_published_document_comes_into_force_on_all_nodes_within_seconds() -> None:
    mesh = Mesh.build(6)
    mesh.publish_first()
    request_id = mesh.publish("n4", build_document(desk="v2", registry="v1"))
    mesh.run(2.0)
    assert mesh.get_answer(request_id).outcome == "accepted"
    assert mesh.list_offsets() == {mesh.get_answer(request_id).offset}


def test_loser_of_a_publish_race_gets_the_winning_version_and_the_difference() -> None:
    mesh = Mesh.build(3)
    mesh.publish_first()
    won = mesh.publish("n0", build_document(desk="v2", registry="v1"))
    lost = mesh.publish("n1", build_document(desk="v3", registry="v1"))
    mesh.run(3.0)
    assert mesh.get_answer(won).outcome == "accepted"
    answer = mesh.get_answer(lost)
    assert (answer.outcome, answer.code) == ("refused", "base-not-current")
    assert answer.offset == mesh.get_answer(won).offset
    assert any("v2" in line and "v3" in line for line in answer.difference)


def test_append_with_a_lost_answer_is_found_in_the_log() -> None:
    mesh = Mesh.build(3)
    mesh.publish_first()
    mesh.lost_answers = 1
    request_id = mesh.publish("n2", build_document(desk="v2", registry="v1"))
    mesh.run(3.0)
    assert mesh.get_answer(request_id).outcome == "accepted"


def test_append_with_a_lost_answer_and_the_log_down_is_answered_unknown() -> None:
    mesh = Mesh.build(3)
    mesh.publish_first()
    mesh.lost_answers = 1
    request_id = mesh.publish("n2", build_document(desk="v2", registry="v1"))
    mesh.is_log_down = True
    mesh.run(20.0)
    answer = mesh.get_answer(request_id)
    assert (answer.outcome, answer.code) == ("unknown", "log-outcome-unknown")
    assert "balsamhead status" in answer.reason


def test_publishing_with_the_log_down_says_that_nothing_was_written() -> None:
    mesh = Mesh.build(3)
    mesh.publish_first()
    mesh.is_log_down = True
    request_id = mesh.publish("n2", build_document(desk="v2", registry="v1"))
    mesh.run(1.0)
    answer = mesh.get_answer(request_id)
    assert (answer.outcome, answer.code) == ("refused", "log-unavailable")
    assert mesh.appends == 1


def test_new_node_gets_the_configuration_from_peers_while_the_log_is_down() -> None:
    mesh = Mesh.build(3)
    mesh.publish_first()
    mesh.is_log_down = True
    mesh.start("n9", PLACES[2])
    mesh.link_all()
    mesh.run(1.0)
    assert mesh.list_offsets() == {0}


def test_withdrawal_replicates_while_the_log_is_down_and_is_logged_later() -> None:
    mesh = Mesh.build(4)
    mesh.publish_first()
    mesh.publish("n0", build_document(desk="v2", registry="v1"))
    mesh.run(2.0)
    mesh.is_log_down = True
    event = events.RolloutRequested("back", "desk", "take-back", "op")
    mesh.post(mesh.nodes["n1"], event)
    mesh.run(1.0)
    assert mesh.get_answer("back").outcome == "accepted"
    for node in mesh.nodes.values():
        assert ("desk", "v2", 1) in node.tables.withdrawn

    mesh.is_log_down = False
    mesh.run(15.0)
    for node in mesh.nodes.values():
        assert node.tables.config.rollouts[0].phase is RolloutPhase.ROLLED_BACK


def test_checkpoints_are_written_before_the_log_drops_older_records() -> None:
    mesh = Mesh.build(3)
    mesh.log.set_retention(16)
    mesh.publish_first()
    for number in range(60):
        mesh.publish(f"n{number % 3}", build_document(desk=f"v{number}", registry="v1"))
        mesh.run(3.0)
    assert count_records(mesh, Checkpoint) < 40

    offsets = mesh.list_offsets()
    for name in list(mesh.nodes):
        mesh.kill(name)
    mesh.start("n7", PLACES[0])
    mesh.run(10.0)
    assert mesh.list_offsets() == offsets


def test_emptied_log_is_recovered_and_no_node_reverts() -> None:
    mesh = Mesh.build(4)
    mesh.publish_first()
    mesh.publish("n0", build_document(desk="v2", registry="v1"))
    mesh.run(2.0)
    mesh.log.clear()
    mesh.run(25.0)
    assert mesh.list_offsets() == {1}
    request_id = mesh.publish("n3", build_document(desk="v3", registry="v1"))
    mesh.run(3.0)
    answer = mesh.get_answer(request_id)
    assert answer.outcome == "accepted"
    assert get_generation(answer.offset) == 1
    assert mesh.list_offsets() == {answer.offset}


def test_outage_longer_than_the_retention_reverts_no_node() -> None:
    mesh = Mesh.build(4)
    mesh.publish_first()
    for version in ("v2", "v3"):
        mesh.publish("n0", build_document(desk=version, registry="v1"))
        mesh.run(2.0)
    mesh.is_log_down = True
    mesh.run(2.0)
    for _ in range(8):
        mesh.log.append("trial", b"junk")
    mesh.log.set_retention(2)
    mesh.is_log_down = False
    mesh.run(25.0)
    assert mesh.list_offsets() == {2}
    mesh.start("n8", PLACES[0])
    request_id = mesh.publish("n1", build_document(desk="v4", registry="v1"))
    mesh.link_all()
    mesh.run(4.0)
    assert mesh.list_offsets() == {mesh.get_answer(request_id).offset}


def test_only_one_node_of_a_region_reads_the_log() -> None:
    mesh = Mesh.build(9)
    mesh.publish_first()
    mesh.run(20.0)
    readers = {read.node.name for read in mesh.reads}
    assert len(readers) == 2
    regions = {mesh.nodes[name].tables.identity.place.region for name in readers}
    assert regions == {"east", "west"}


def test_region_without_the_log_reads_it_only_when_replication_fails() -> None:
    mesh = Mesh.build(6, log_region="east")
    mesh.publish_first()
    mesh.run(5.0)
    west = {name for name in mesh.nodes if mesh.nodes[name].tables.identity.place == PLACES[2]}
    assert not any(read.node.name in west for read in mesh.reads)

    mesh.partitioned_pairs = {frozenset((a, b)) for a in west for b in mesh.nodes if b not in west}
    mesh.link_all()
    mesh.publish("n0", build_document(desk="v2", registry="v1"))
    mesh.run(30.0)
    assert mesh.list_offsets() == {1}


def test_standby_reader_takes_over_when_the_reader_dies() -> None:
    mesh = Mesh.build(6)
    mesh.publish_first()
    mesh.run(5.0)
    for name in {read.node.name for read in mesh.reads}:
        mesh.kill(name)
    mesh.link_all()
    mesh.run(3.0)
    name = min(mesh.nodes)
    mesh.publish(name, build_document(desk="v2", registry="v1"))
    mesh.run(2.0)
    assert mesh.list_offsets() == {1}


def test_status_of_each_node_counts_all_nodes_on_a_version() -> None:
    mesh = Mesh.build(9)
    mesh.publish_first()
    mesh.run(10.0)
    for name in mesh.nodes:
        mesh.post(mesh.nodes[name], events.StatusRequested(f"s-{name}"))
        answer = mesh.answers[f"s-{name}"]
        assert isinstance(answer, StatusResponse)
        assert answer.in_force == (VersionCount(0, 9),)
        assert answer.live_nodes == 9


def test_promotion_copies_the_document_of_the_source_by_its_digest() -> None:
    trial = Mesh.build(3)
    trial.publish_first()
    mesh = Mesh.build(3)
    mesh.nodes.clear()
    mesh.log = trial.log
    mesh.environment = "production"
    mesh.promotes_from = "trial"
    mesh.start("n0", PLACES[0])
    mesh.run(3.0)
    mesh.post(mesh.nodes["n0"], events.PromoteRequested("bad", "00", "op"))
    mesh.post(mesh.nodes["n0"], events.PromoteRequested("good", "", "op"))
    mesh.run(3.0)
    assert mesh.get_answer("bad").code == "digest-not-current"
    assert mesh.get_answer("good").outcome == "accepted"
    assert mesh.get_config("n0").document == trial.get_config("n0").document


@pytest.mark.parametrize("action", ["pause", "speed-up"])
def test_operator_changes_a_rollout(action: str) -> None:
    mesh = Mesh.build(3)
    mesh.publish_first()
    mesh.publish("n0", build_document(desk="v2", registry="v1"))
    mesh.run(2.0)
    mesh.post(mesh.nodes["n2"], events.RolloutRequested("r", "desk", action, "op"))
    mesh.run(2.0)
    assert mesh.get_answer("r").outcome == "accepted"
    rollout = mesh.get_config("n1").rollouts[0]
    assert (rollout.paused, rollout.share > 0) == (action == "pause", action == "speed-up")


def test_invalid_document_is_refused_and_never_written() -> None:
    mesh = Mesh.build(2)
    mesh.publish_first()
    document = build_document(desk="v2")
    broken = document._replace(routes=(document.routes[0]._replace(service="none"),))
    request_id = mesh.publish("n0", broken)
    assert mesh.get_answer(request_id).code == "document-invalid"
    assert mesh.appends == 1


def test_appends_of_a_node_are_rate_limited() -> None:
    mesh = Mesh.build(2)
    mesh.publish_first()
    ids = [
        mesh.publish("n0", build_document(desk=f"v{number}", registry="v1")) for number in range(30)
    ]
    codes = [mesh.answers[i].code for i in ids if i in mesh.answers]  # type: ignore[union-attr]
    assert codes.count("appends-limited") >= 20
