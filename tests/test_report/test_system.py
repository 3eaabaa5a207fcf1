from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.commands import Reply, Send
from balsamhead.events import CallsCounted, MessageReceived, ReportRequested
from balsamhead.node import LinkRow
from balsamhead.operator_responses import ReportResponse
from balsamhead.report import ReportSystem
from balsamhead.rollout import DecisionRow
from tests.test_rollout.builders import SERVICE, START, make_count, make_members, make_tables

if TYPE_CHECKING:
    from balsamhead.commands import Command
    from balsamhead.events import Event


def make_nodes(decisions: tuple[DecisionRow, ...] = ()) -> dict[str, ReportSystem]:
    nodes = {}
    for name in make_members():
        tables = make_tables(name)
        for peer, member in tables.members.items():
            if peer != name:
                row = LinkRow(peer, member.peer_address, member.place, False, START)
                tables.links[peer] = row
        own = decisions if name == "node-0" else ()
        nodes[name] = ReportSystem.from_config(tables, list_decisions=lambda own=own: own)  # type: ignore[misc]
    return nodes


def deliver(
    nodes: dict[str, ReportSystem], node: str, event: Event | None, now: float
) -> list[Reply]:
    """Pass an event, or a tick if it is None, to a node and deliver all resulting messages.

    Return the replies to operators.
    """
    system = nodes[node]
    queue = [(node, c) for c in (system.handle(event, now) if event else system.tick(now))]
    replies: list[Reply] = []
    while queue:
        sender, command = queue.pop(0)
        match command:
            case Reply():
                replies.append(command)
            case Send(peer=peer, message=message):
                more: list[Command] = nodes[peer].handle(MessageReceived(sender, message), now)
                queue += [(peer, c) for c in more]
    return replies


def run_nodes(nodes: dict[str, ReportSystem], seconds: int) -> None:
    for second in range(seconds):
        for node in nodes:
            deliver(nodes, node, CallsCounted((make_count("v1", 10, 1),)), START + second)
            deliver(nodes, node, None, START + second)


def test_each_node_serves_the_counts_of_all_nodes() -> None:
    nodes = make_nodes((DecisionRow(START, SERVICE, "v2", 0.0, "step to 0.05", ""),))
    run_nodes(nodes, 100)
    for node in nodes:
        event = ReportRequested("r1", "text", SERVICE)
        replies = deliver(nodes, node, event, START + 100)
        assert len(replies) == 1
        answer = replies[0].response
        assert isinstance(answer, ReportResponse)
        assert "availability burning" in answer.body.decode()
        assert "step to 0.05" in answer.body.decode()
    owners = [system for system in nodes.values() if system.table.counting_since]
    assert len(owners) == 1
    rows = owners[0].table.compute_rows(now=START + 100)
    assert 60 * 80 <= rows[0].calls <= 100 * 80


def test_report_is_marked_incomplete_if_the_owner_does_not_reply() -> None:
    nodes = make_nodes()
    node = next(name for name in nodes if not nodes[name]._is_owner())
    event = ReportRequested("r1", "text")
    assert [c for c in nodes[node].handle(event, START) if isinstance(c, Reply)] == []
    replies = [c for c in nodes[node].tick(START + 3.5) if isinstance(c, Reply)]
    assert len(replies) == 1
    answer = replies[0].response
    assert isinstance(answer, ReportResponse)
    assert "not whole" in answer.body.decode()
