from __future__ import annotations

from dataclasses import dataclass, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamhead.distribution._reader import StreamReader
from balsamhead.fold import (
    Accepted,
    Checkpoint,
    ConfigState,
    FinishRollout,
    PauseRollout,
    PublishDocument,
    Record,
    ResumeRollout,
    RollBackRollout,
    StepRollout,
    decode_record,
    empty_state,
    encode_record,
)
from balsamhead.log import Batch, Entry
from tests.test_fold.builders import NOW, build_document

SERVICE = "desk"
VERSIONS = st.sampled_from(["v1", "v2", "v3"])
WRITERS = st.integers(0, 2)


@dataclass(frozen=True)
class ExpectedRollout:
    """Rollout as the oracle expects it."""

    offset: int
    document_offset: int
    old: str
    new: str
    share: float = 0.0
    phase: str = "shifting"
    paused: bool = False


class Oracle:
    """Independent, simplified implementation of the fold rules for one service."""

    def __init__(self) -> None:
        self.document_offset = -1
        self.target_version = ""
        self.rollout: ExpectedRollout | None = None
        self.withdrawn: set[tuple[str, int]] = set()

    def apply(self, offset: int, record: Record) -> bool:
        match record:
            case Checkpoint():
                return True
            case PublishDocument(base=base, document=document):
                if base != self.document_offset:
                    return False
                self._publish(offset, document.services[0].version)
                return True
            case RollBackRollout(version=version, document_offset=document_offset):
                rollout = self.rollout
                if rollout is None or (rollout.new, rollout.document_offset) != (
                    version,
                    document_offset,
                ):
                    return False
                if rollout.phase in ("done", "taken-back"):
                    return False
                self.withdrawn.add((version, document_offset))
                self.rollout = replace(rollout, offset=offset, phase="taken-back", share=0.0)
                return True
            case _:
                return self._change_rollout(offset, record)

    def _publish(self, offset: int, version: str) -> None:
        rollout = self.rollout
        serving_version = self.target_version or version
        if rollout is not None:
            serving_version = rollout.new if rollout.phase in ("watching", "done") else rollout.old
        if version == serving_version:
            self.rollout = rollout if rollout is not None and rollout.new == version else None
        elif rollout is None or rollout.new != version:
            self.rollout = ExpectedRollout(offset, offset, serving_version, version)
        self.document_offset = offset
        self.target_version = version

    def _change_rollout(self, offset: int, record: Record) -> bool:
        rollout = self.rollout
        if (
            rollout is None
            or rollout.offset != record.base
            or rollout.phase in ("done", "taken-back")
        ):
            return False
        match record:
            case StepRollout(version=version, share=share):
                if version != rollout.new or rollout.paused or share <= rollout.share:
                    return False
                phase = "watching" if share == 1.0 else "shifting"
                self.rollout = replace(rollout, offset=offset, share=share, phase=phase)
            case FinishRollout(version=version):
                if version != rollout.new or rollout.paused or rollout.phase != "watching":
                    return False
                self.rollout = replace(rollout, offset=offset, phase="done")
            case PauseRollout():
                if rollout.paused:
                    return False
                self.rollout = replace(rollout, offset=offset, paused=True)
            case ResumeRollout():
                if not rollout.paused:
                    return False
                self.rollout = replace(rollout, offset=offset, paused=False)
        return True


class FoldMachine(RuleBasedStateMachine):
    """Append records from writers with outdated states, repeat records and drop old ones."""

    def __init__(self) -> None:
        super().__init__()
        self.oracle = Oracle()
        self.records: list[bytes] = []
        self.first = 0
        self.checkpoints: list[tuple[int, int]] = []
        self.verdicts: dict[str, bool] = {}
        self.readers = [StreamReader() for _ in range(3)]
        for index in range(3):
            self.catch_up(index)

    def append(self, record: Record) -> None:
        offset = len(self.records)
        self.records.append(encode_record(record))
        is_accepted = self.oracle.apply(offset, record)
        self.verdicts.setdefault(record.id, is_accepted)
        if isinstance(record, Checkpoint):
            self.checkpoints.append((offset, record.base))

    def read_all(self, reader: StreamReader) -> ConfigState:
        while True:
            at = max(self.first, reader.next_offset)
            entries = [Entry(i, self.records[i]) for i in range(at, len(self.records))[:5]]
            reader.handle_batch(
                reader.next_offset, Batch(self.first, len(self.records), tuple(entries))
            )
            if reader.is_caught_up:
                assert reader.state is not None
                return reader.state

    def get_known_state(self, writer: int) -> ConfigState:
        return self.readers[writer].state or empty_state()

    def append_new(self, kind: type, writer: int, **fields: object) -> None:
        record_id = f"r{len(self.records)}"
        self.append(kind(id=record_id, written_at=NOW, writer=f"w{writer}", **fields))

    @rule(writer=WRITERS, version=VERSIONS)
    def publish(self, writer: int, version: str) -> None:
        base = self.get_known_state(writer).document_offset
        document = build_document(**{SERVICE: version})
        self.append_new(PublishDocument, writer, base=base, document=document)

    @rule(
        writer=WRITERS,
        kind=st.sampled_from([StepRollout, FinishRollout, PauseRollout, ResumeRollout]),
        share=st.sampled_from([0.1, 0.5, 1.0]),
    )
    def change_rollout(self, writer: int, kind: type, share: float) -> None:
        rollouts = self.get_known_state(writer).rollouts
        if not rollouts:
            return
        fields: dict[str, object] = {"base": rollouts[0].offset, "service": SERVICE}
        if kind in (StepRollout, FinishRollout):
            fields["version"] = rollouts[0].new
        if kind is StepRollout:
            fields["share"] = share
        self.append_new(kind, writer, **fields)

    @rule(writer=WRITERS)
    def roll_back(self, writer: int) -> None:
        rollouts = self.get_known_state(writer).rollouts
        if not rollouts:
            return
        self.append_new(
            RollBackRollout,
            writer,
            base=-1,
            service=SERVICE,
            version=rollouts[0].new,
            document_offset=rollouts[0].document_offset,
            reason="errors",
        )

    @rule(back=st.integers(1, 6))
    def repeat_after_lost_answer(self, back: int) -> None:
        if back <= len(self.records) - self.first:
            self.append(decode_record(self.records[-back], offset=0))

    @rule(writer=WRITERS)
    def checkpoint(self, writer: int) -> None:
        reader = self.readers[writer]
        if reader.state is not None and reader.next_offset > 0:
            self.append_new(Checkpoint, writer, base=reader.next_offset - 1, state=reader.state)

    @rule(writer=WRITERS)
    def catch_up(self, writer: int) -> None:
        self.read_all(self.readers[writer])

    @rule()
    def drop_old_records(self) -> None:
        if self.checkpoints:
            self.first = max(self.first, self.checkpoints[-1][1] + 1)

    @rule(writer=WRITERS)
    def restart(self, writer: int) -> None:
        self.readers[writer] = StreamReader()
        self.catch_up(writer)

    @invariant()
    def every_reader_agrees_with_the_oracle(self) -> None:
        for reader in (StreamReader(), *self.readers):
            if reader.next_offset < len(self.records) and reader in self.readers:
                continue
            state = self.read_all(reader)
            self.compare(state)
            for record_id, verdict in reader.verdicts.items():
                # a reader that started late may have read only the repeated, refused record
                assert isinstance(verdict, Accepted) <= self.verdicts[record_id]

    def compare(self, state: ConfigState) -> None:
        oracle = self.oracle
        assert state.document_offset == oracle.document_offset
        assert {withdrawal[1:3] for withdrawal in state.withdrawn} == oracle.withdrawn
        rollouts = [
            ExpectedRollout(
                r.offset, r.document_offset, r.old, r.new, r.share, r.phase.value, r.paused
            )
            for r in state.rollouts
        ]
        assert rollouts == ([oracle.rollout] if oracle.rollout is not None else [])


TestFold = FoldMachine.TestCase
TestFold.settings = settings(max_examples=80, stateful_step_count=40)
