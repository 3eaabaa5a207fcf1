from __future__ import annotations

import asyncio

import pytest

from balsamhead.errors import (
    LogConflictError,
    LogOutcomeUnknownError,
    LogUnavailableError,
)
from balsamhead.mesh.model import (
    Crash,
    CrashReport,
    Departure,
    Directory,
    NodeRecord,
    OperatorState,
    Phase,
    Refusal,
    Rollout,
    SuspectRow,
)
from balsamhead.platform.records import PlatformRecords
from balsamhead.platform.store import StoreClient
from balsamhead.util import codec
from standin.platform_store import PlatformStore
from tests.test_mesh.builders import STORE, make_config, run_virtual

UNKNOWN_STATE = OperatorState(-1, None, {})
REFUSAL = Refusal(b"f" * 16, (Crash("node-1", 7, True, False, "desk"),), 60_000)
DEPARTURES = (
    Departure("i-1", 5, announced=True),
    Departure("i-2", 7, announced=False),
)
NODE = NodeRecord("node-1", 5, "10.0.0.1:8004", "east-a", "east", "desk")


async def start_store() -> tuple[PlatformStore, StoreClient, PlatformRecords]:
    store = PlatformStore()
    await store.start(STORE)
    client = StoreClient(STORE)
    return store, client, PlatformRecords(client)


def make_rollout(phase: Phase, *, order: int = 4) -> Rollout:
    return Rollout("desk", "v2", order, phase, 0, 0.0)


def test_known_operator_state_is_read_again_only_after_a_change() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.op", "config", make_config(1))
        state = (await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)).state
        assert state.config is not None
        assert (state.config.version, state.offset) == (1, 1)
        read = asyncio.ensure_future(records.read_operator_state(state, wait_s=20.0))
        await asyncio.sleep(5.0)
        assert not read.done()
        store.put("keyed.op", "config", make_config(4))
        state = (await read).state
        assert state.config is not None
        assert (state.config.version, state.offset) == (4, 2)

    run_virtual(main)


def test_newest_records_are_read_if_the_history_is_gone() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.op", "config", make_config(1))
        state = (await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)).state
        for version in (2, 3):
            store.put("keyed.op", "config", make_config(version))
        store.compact("keyed.op")
        state = (await records.read_operator_state(state, wait_s=1.0)).state
        assert state.config is not None
        assert (state.config.version, state.offset) == (3, 3)

    run_virtual(main)


def test_malformed_operator_record_leaves_the_state_unchanged() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.op", "config", make_config(1))
        state = (await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)).state
        store.put("keyed.op", "config", b"{cut")
        store.put("keyed.op", "rollout/desk", b"\xff")
        after = (await records.read_operator_state(state, wait_s=1.0)).state
        assert after.config == state.config
        assert after.orders == {}
        assert after.offset == 3

    run_virtual(main)


def test_evacuations_are_read_until_they_are_lifted() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.op", "config", make_config(1))
        store.put("keyed.op", "evacuate/east-b", {})
        state = (await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)).state
        assert state.evacuated == ("east-b",)
        store.put("keyed.op", "evacuate/east-a", {})
        state = (await records.read_operator_state(state, wait_s=1.0)).state
        assert state.evacuated == ("east-a", "east-b")
        store.put("keyed.op", "evacuate/east-b", b"")
        state = (await records.read_operator_state(state, wait_s=1.0)).state
        assert state.evacuated == ("east-a",)

    run_virtual(main)


# The newest records don't list one that was removed: the evacuation would never have ended.
def test_evacuation_that_was_lifted_while_the_history_was_dropped_has_ended() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.op", "config", make_config(1))
        store.put("keyed.op", "evacuate/east-b", {})
        state = (await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)).state
        store.put("keyed.op", "evacuate/east-b", b"")
        store.compact("keyed.op")
        state = (await records.read_operator_state(state, wait_s=1.0)).state
        assert state.evacuated == ()

    run_virtual(main)


def test_order_has_the_offset_of_its_record() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.op", "config", make_config(1))
        row = {"service": "desk", "target_version": "v2", "duration": "12s"}
        store.put("keyed.op", "rollout/desk", row)
        state = (await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)).state
        assert state.orders["desk"].offset == 1

    run_virtual(main)


def test_malformed_node_record_is_skipped() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        await records.write_node(NODE)
        store.put("keyed.nodes", "foreign", b"\xffnothing")
        assert (await records.read_directory()).nodes == [NODE]

    run_virtual(main)


def test_refusal_is_read_beside_the_nodes_until_it_is_deleted() -> None:
    async def main() -> None:
        _, _, records = await start_store()
        await records.write_node(NODE)
        await records.write_refusal(REFUSAL)
        assert await records.read_directory() == Directory([NODE], [REFUSAL], {}, {}, {})
        await records.delete_refusal(REFUSAL.fingerprint)
        assert await records.read_directory() == Directory([NODE], [], {}, {}, {})

    run_virtual(main)


def test_departures_are_read_by_node_and_replaced_by_later_ones() -> None:
    async def main() -> None:
        _, _, records = await start_store()
        await records.write_departures("node-1", DEPARTURES[:1])
        await records.write_departures("node-2", DEPARTURES[1:])
        await records.write_departures("node-1", DEPARTURES)
        directory = await records.read_directory()
        assert directory.departures == {"node-1": DEPARTURES, "node-2": DEPARTURES[1:]}

    run_virtual(main)


def test_malformed_departures_are_skipped() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.nodes", "departures/node-1", b"\xffnothing")
        store.put("keyed.nodes", "departures/node-2", codec.encode([("i-1", -1, True)]))
        store.put("keyed.nodes", "departures/node-3", codec.encode([("i-1", "1", True)]))
        assert (await records.read_directory()).departures == {}

    run_virtual(main)


def test_crashes_are_read_by_node_until_they_are_deleted() -> None:
    async def main() -> None:
        _, _, records = await start_store()
        report = CrashReport(60_000, (SuspectRow(b"f" * 16, REFUSAL.crashes[0]),))
        await records.write_crash_report("node-1", report)
        await records.write_crash_report("node-2", report)
        await records.delete_crash_report("node-2")
        assert (await records.read_directory()).crash_reports == {"node-1": report}

    run_virtual(main)


def test_malformed_refusal_is_skipped() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        await records.write_refusal(REFUSAL)
        store.put("keyed.nodes", "refusal/foreign", b"\xffnothing")
        store.put("keyed.nodes", "refusal/other", codec.encode(REFUSAL))
        assert (await records.read_directory()).refusals == [REFUSAL]

    run_virtual(main)


def test_newest_records_are_read_over_several_pages() -> None:
    async def main() -> None:
        _, _, records = await start_store()
        nodes = [NODE._replace(name=f"node-{number:04}") for number in range(1203)]
        for node in nodes:
            await records.write_node(node)
        assert (await records.read_directory()).nodes == nodes

    run_virtual(main)


def test_first_recorded_final_state_of_a_rollout_is_kept() -> None:
    async def main() -> None:
        store, client, records = await start_store()
        other = PlatformRecords(client)
        await records.write_rollout(make_rollout(Phase.RUNNING))
        await other.write_rollout(make_rollout(Phase.ROLLED_BACK))
        recorded = None
        for _ in range(3):
            try:
                recorded = await records.write_rollout(make_rollout(Phase.COMPLETED))
                break
            except LogConflictError:
                continue
        assert recorded is not None
        assert recorded.phase is Phase.ROLLED_BACK
        assert store.read_newest("keyed.status")["rollout/desk"]["state"] == "rolled_back"

    run_virtual(main)


def test_later_order_may_have_another_final_state() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        await records.write_rollout(make_rollout(Phase.ROLLED_BACK, order=4))
        await records.write_rollout(make_rollout(Phase.COMPLETED, order=9))
        assert store.read_newest("keyed.status")["rollout/desk"]["state"] == "completed"

    run_virtual(main)


def test_rejected_append_raises_unavailable_and_writes_nothing() -> None:
    async def main() -> None:
        store, client, _ = await start_store()
        for status in (429, 503, 507):
            store.faults.status = status
            with pytest.raises(LogUnavailableError):
                await client.append_keyed("keyed.nodes", "a", b"1")
        assert store.read_newest("keyed.nodes") == {}

    run_virtual(main)


def test_append_with_a_lost_response_raises_outcome_unknown() -> None:
    async def main() -> None:
        store, client, _ = await start_store()
        store.faults.lost_responses = 1
        with pytest.raises(LogOutcomeUnknownError):
            await client.append_keyed("keyed.nodes", "a", b"x")
        assert store.read_newest("keyed.nodes") == {"a": b"x"}

    run_virtual(main)


def test_read_from_a_silent_store_times_out() -> None:
    async def main() -> None:
        store, client, _ = await start_store()
        store.faults.silent = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(LogUnavailableError):
            await client.read("keyed.op", 0, wait_s=2.0)
        assert loop.time() - started_at < 4.0

    run_virtual(main)


def test_unreachable_store_raises_unavailable() -> None:
    async def main() -> None:
        with pytest.raises(LogUnavailableError):
            await StoreClient("10.9.0.9:1").read_newest("keyed.op")

    run_virtual(main)


# A coordinator's condition on the old end of the topic held by chance in the restored store, and
# its running state replaced the final one.
def test_running_state_does_not_replace_a_final_one_after_a_restoration() -> None:
    async def main() -> None:
        store, client, records = await start_store()
        topics = store.copy()
        other = PlatformRecords(StoreClient(STORE))
        await records.write_rollout(make_rollout(Phase.RUNNING))
        store.restore(topics)
        await other.write_rollout(make_rollout(Phase.ROLLED_BACK))
        await client.read_newest("keyed.nodes")
        recorded = await records.write_rollout(make_rollout(Phase.RUNNING))
        assert recorded.phase is Phase.ROLLED_BACK
        assert [row.phase for row in await other.read_rollouts()] == [Phase.ROLLED_BACK]

    run_virtual(main)


# A response that lacks records says nothing about whether the state is the newest.
def test_state_is_confirmed_only_by_a_response_that_reaches_to_the_end() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        store.put("keyed.op", "config", make_config(1))
        reading = await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)
        assert reading.confirmed
        store.put("keyed.op", "config", make_config(2))
        reading = await records.read_operator_state(reading.state, wait_s=0.0)
        assert (reading.confirmed, reading.state.offset) == (True, 2)
        again = await records.read_operator_state(reading.state, wait_s=0.0)
        assert again.confirmed
        store.faults.hidden_records = 1
        older = await records.read_operator_state(reading.state, wait_s=0.0)
        assert (older.confirmed, older.state) == (False, reading.state)

    run_virtual(main)


def test_configuration_that_can_not_be_read_outdates_one_with_accounts() -> None:
    async def main() -> None:
        store, _, records = await start_store()
        for tenants, outdated in (({}, True), (None, False)):
            config = make_config(1) | ({} if tenants is None else {"tenants": tenants})
            store.put("keyed.op", "config", config)
            state = (await records.read_operator_state(UNKNOWN_STATE, wait_s=0.0)).state
            assert not state.config_outdated
            store.put("keyed.op", "config", b"{cut")
            state = (await records.read_operator_state(state, wait_s=0.0)).state
            assert state.config_outdated is outdated
            store.put("keyed.op", "evacuate/east-a", {})
            state = (await records.read_operator_state(state, wait_s=0.0)).state
            assert state.config_outdated is outdated
            store.put("keyed.op", "config", config)
            state = (await records.read_operator_state(state, wait_s=0.0)).state
            assert not state.config_outdated

    run_virtual(main)
