from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamhead.commands import Append, Command, Send, WriteLogLine
from balsamhead.events import CallsCounted, MessageReceived
from balsamhead.fold import RollBackRollout, RolloutPhase, StepRollout, decode_record
from balsamhead.membership import find_aggregator
from balsamhead.node import LinkRow
from balsamhead.rollout import Rollouts
from balsamhead.wire import EvidenceReport, WithdrawnNotice, encode_message
from tests.test_rollout.builders import SERVICE, START, make_count, make_rollout, make_tables

if TYPE_CHECKING:
    from balsamhead.fold import Record, Rollout
    from balsamhead.node import Tables

PLACE = "east-tbilisi"


def make_controller(rollout: Rollout | None = None) -> tuple[Rollouts, Tables]:
    tables = make_tables("node-0", rollout)
    for name, member in tables.members.items():
        if name != "node-0":
            row = LinkRow(name, member.peer_address, member.place, False, START)
            tables.links[name] = row
    system = Rollouts.from_config(tables, rng=random.Random(1), is_controller=lambda _: True)
    return system, tables


def run(system: Rollouts, seconds: int, *, start: float = START, errors: int = 0) -> list[Command]:
    """Handle one aggregated report per second, with a tick every half second."""
    commands: list[Command] = []
    for index in range(2 * seconds):
        now = start + index / 2
        if index % 2 == 0:
            vm = f"node-{4 + index // 2 % 4}"
            caller = f"node-{index // 2 % 3}"
            counts = (
                make_count("v1", 190),
                make_count("v2", 10, errors, upstream=vm, caller=caller),
            )
            source = "east-telavi/node-1"
            report = EvidenceReport(source, int(now * 1000), counts, 4)
            commands += system.handle(MessageReceived("node-1", report), now)
        commands += system.tick(now)
    return commands


def list_records(commands: list[Command]) -> list[Record]:
    return [decode_record(c.data, offset=0) for c in commands if isinstance(c, Append)]


def test_controller_appends_the_first_step_with_the_current_base() -> None:
    system, _ = make_controller()
    records = list_records(system.tick(START + 6))
    assert [type(record) for record in records] == [StepRollout]
    assert records[0].base == 1


def test_step_is_appended_again_only_after_the_retry_interval() -> None:
    system, _ = make_controller()
    commands = [c for i in range(45) for c in system.tick(START + 6 + i / 10)]
    assert len(list_records(commands)) == 1
    assert len(list_records(system.tick(START + 11.5))) == 1


def test_failing_version_is_withdrawn_at_once_and_recorded() -> None:
    system, tables = make_controller(make_rollout(share=0.05))
    commands = run(system, 10, errors=1)
    assert (SERVICE, "v2", 1) in tables.withdrawn
    assert tables.config_revision == 2
    notices = [c for c in commands if isinstance(c, Send)]
    assert {c.peer for c in notices} == set(tables.links)
    assert all(isinstance(c.message, WithdrawnNotice) for c in notices)
    assert isinstance(list_records(commands)[0], RollBackRollout)
    assert [c.message for c in commands if isinstance(c, WriteLogLine)] == ["version withdrawn"]


def test_withdrawal_is_appended_again_until_it_is_accepted() -> None:
    system, tables = make_controller(make_rollout(share=0.05))
    run(system, 10, errors=1)
    again = list_records(run(system, 20, start=START + 60))
    assert len(again) >= 3
    assert all(isinstance(record, RollBackRollout) for record in again)

    ended = make_rollout(phase=RolloutPhase.ROLLED_BACK, offset=2)
    tables.config = tables.config._replace(rollouts=(ended,))
    tables.config_revision += 1
    assert run(system, 20, start=START + 90) == []


def test_no_step_is_appended_for_a_withdrawn_version() -> None:
    system, tables = make_controller(make_rollout())
    tables.withdrawn[SERVICE, "v2", 1] = "said by a peer"
    records = list_records(run(system, 30))
    assert records
    assert all(isinstance(record, RollBackRollout) for record in records)


def make_reporter() -> Rollouts:
    """Return a node that is neither the aggregator of its data centre nor a controller."""
    members = make_tables("node-0").members
    node = next(n for n in ("node-0", "node-2") if n != find_aggregator(members.values(), PLACE))
    tables = make_tables(node)
    for name, member in members.items():
        tables.links[name] = LinkRow(name, member.peer_address, member.place, False, START)
    return Rollouts.from_config(tables, rng=random.Random(1), is_controller=lambda _: False)


def test_node_reports_only_services_in_a_rollout_to_its_aggregator() -> None:
    system = make_reporter()
    system.tick(START)
    other = make_count("v1", 7)._replace(service="applicant-desk")
    system.handle(CallsCounted((make_count("v1", 5), other)), START)
    sent = [c for c in system.tick(START + 3.1) if isinstance(c, Send)]
    assert len(sent) == 1
    assert isinstance(sent[0].message, EvidenceReport)
    assert [row.service for row in sent[0].message.counts] == [SERVICE]


def test_report_that_arrives_twice_counts_once() -> None:
    system, _ = make_controller(make_rollout(share=0.05))
    report = EvidenceReport("east-telavi/node-1", 5, (make_count("v1", 100),), 2)
    system.tick(START)
    system.handle(MessageReceived("node-1", report), START)
    system.handle(MessageReceived("node-1", report), START)
    rates = system.trackers[SERVICE].evidence.measure_rates(START + 10)
    assert rates == {"offers": 10.0}


def test_reports_stay_under_200_bytes_per_second_when_all_calls_fail() -> None:
    system = make_reporter()
    size = 0
    for index in range(600):
        now = START + index / 10
        counts = tuple(make_count("v2", 5, 5, upstream=f"node-{vm}") for vm in range(4))
        system.handle(CallsCounted(counts), now)
        for command in system.tick(now):
            if isinstance(command, Send):
                size += len(encode_message(command.message))
    assert 0 < size / 60 <= 200
