from __future__ import annotations

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from balsamhead import events
from balsamhead.fold import Accepted, empty_state, fold_entry
from tests.test_distribution.builders import PLACES, Mesh
from tests.test_fold.builders import build_document

NODES = 6
INDEX = st.integers(0, NODES - 1)
VERSIONS = st.sampled_from(["v1", "v2", "v3", "v4"])


class MeshMachine(RuleBasedStateMachine):
    """Inject faults into the links, the log and the nodes; then check that all nodes converge."""

    @initialize(seed=st.integers(0, 999), log_region=st.sampled_from(["", "east"]))
    def start(self, seed: int, log_region: str) -> None:
        self.mesh = Mesh.build(NODES, seed=seed, log_region=log_region)
        self.mesh.publish_first()
        self.highest: dict[int, int] = {}
        self.withdrawn: dict[int, int] = {}
        self.published: list[str] = []
        #: whether the log kept all its records, so that folding them gives the expected state
        self.is_history_whole = True

    @rule(index=INDEX, version=VERSIONS)
    def publish(self, index: int, version: str) -> None:
        name = f"n{index}"
        if name in self.mesh.nodes:
            document = build_document(desk=version, registry="v1")
            self.published.append(self.mesh.publish(name, document))

    @rule(index=INDEX, action=st.sampled_from(["take-back", "speed-up", "pause", "resume"]))
    def change_rollout(self, index: int, action: str) -> None:
        name = f"n{index}"
        if name in self.mesh.nodes:
            self.mesh.requests += 1
            request_id = f"r{self.mesh.requests}"
            event = events.RolloutRequested(request_id, "desk", action, "op")
            self.mesh.post(self.mesh.nodes[name], event)

    @rule(loss=st.sampled_from([0.0, 0.3, 0.8]), repeat=st.sampled_from([0.0, 0.5]))
    def disturb_links(self, loss: float, repeat: float) -> None:
        self.mesh.loss = loss
        self.mesh.repeat = repeat
        self.mesh.delay = min(loss, 0.5)

    @rule(indexes=st.sets(INDEX, min_size=1, max_size=NODES - 1))
    def partition(self, indexes: set[int]) -> None:
        isolated = {f"n{index}" for index in indexes}
        others = {f"n{index}" for index in range(NODES)} - isolated
        self.mesh.partitioned_pairs = {frozenset((a, b)) for a in isolated for b in others}
        self.mesh.link_all()

    @rule(indexes=st.sets(INDEX, min_size=1, max_size=NODES - 2))
    def kill(self, indexes: set[int]) -> None:
        for name in {f"n{index}" for index in indexes} & self.mesh.nodes.keys():
            if len(self.mesh.nodes) > 2:
                self.mesh.kill(name)

    @rule(index=INDEX)
    def restart(self, index: int) -> None:
        if f"n{index}" not in self.mesh.nodes:
            self.mesh.start(f"n{index}", PLACES[index % len(PLACES)])
            self.mesh.link_all()

    @rule(index=INDEX)
    def pause_or_resume(self, index: int) -> None:
        node = self.mesh.nodes.get(f"n{index}")
        if node is None:
            return
        if node.is_paused:
            self.mesh.resume(node.name)
        else:
            self.mesh.pause(node.name)

    @rule(is_down=st.booleans(), lost_answers=st.integers(0, 2))
    def disturb_log(self, is_down: bool, lost_answers: int) -> None:
        self.mesh.is_log_down = is_down
        self.mesh.lost_answers = lost_answers

    @rule(is_empty=st.booleans())
    def drop_records(self, is_empty: bool) -> None:
        self.is_history_whole = False
        if is_empty:
            self.mesh.log.clear()
        else:
            self.mesh.log.set_retention(1)
            self.mesh.log.set_retention(0)

    @rule(seconds=st.sampled_from([0.1, 0.5, 3.0, 15.0]))
    def run_on(self, seconds: float) -> None:
        self.mesh.run(seconds)

    @invariant()
    def no_node_reverts(self) -> None:
        for node in self.mesh.nodes.values():
            key = node.tables.identity.incarnation
            assert node.tables.config.offset >= self.highest.get(key, -1)
            assert len(node.tables.withdrawn) >= self.withdrawn.get(key, 0)
            self.highest[key] = node.tables.config.offset
            self.withdrawn[key] = len(node.tables.withdrawn)
        self.mesh.check()

    def teardown(self) -> None:
        mesh = self.mesh
        mesh.check_digests()
        mesh.loss = mesh.repeat = mesh.delay = 0.0
        mesh.partitioned_pairs = set()
        mesh.is_log_down = False
        mesh.lost_answers = 0
        highest_before = max(mesh.list_offsets())
        for node in list(mesh.nodes.values()):
            if node.is_paused:
                mesh.resume(node.name)
        mesh.link_all()
        for _ in range(60):
            mesh.run(1.0)
            self.no_node_reverts()

        mesh.check_digests()
        assert len(mesh.list_offsets()) == 1, mesh.list_offsets()
        assert min(mesh.list_offsets()) >= highest_before
        if self.is_history_whole:
            self.compare_with_the_log()

    def compare_with_the_log(self) -> None:
        state = empty_state()
        accepted: dict[str, bool] = {}
        for offset, (_, data) in enumerate(self.mesh.appended):
            record, folded = fold_entry(state, offset, data)
            state = folded.state
            if record is not None:
                accepted.setdefault(record.id, isinstance(folded.verdict, Accepted))
        for node in self.mesh.nodes.values():
            assert node.tables.config == state
        for request_id in self.published:
            if request_id not in self.mesh.answers:
                continue
            answer = self.mesh.get_answer(request_id)
            assert answer.outcome in ("accepted", "refused", "unknown")
            if answer.outcome == "accepted":
                assert answer.offset in self.mesh.digests


TestMesh = MeshMachine.TestCase
TestMesh.settings = settings(max_examples=25, stateful_step_count=15, phases=[Phase.generate])
