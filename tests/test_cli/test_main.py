from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from balsamhead._cli._exit_codes import ExitCode
from balsamhead.document import parse_document
from balsamhead.events import PublishRequested, RolloutRequested
from balsamhead.operator_responses import PublishResponse, VersionCount
from tests.test_cli.builders import Program
from tests.test_document.builders import make_tree, render_toml
from tests.test_operator.builders import ACCEPTED, ROLLOUT, STATUS, FakeNode, serve_node
from tests.test_settings.builders import write_settings

ROOT = Path(__file__).parents[2]
PLOTLIST = str(ROOT / "examples" / "plotlist.toml")


@pytest.fixture(scope="module")
def server(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FakeNode]:
    with serve_node(tmp_path_factory.mktemp("port")) as node:
        yield node


@pytest.fixture
def node(server: FakeNode) -> FakeNode:
    server.events.clear()
    server.answer = ACCEPTED
    server.status = STATUS
    return server


@pytest.fixture
def program(node: FakeNode) -> Program:
    return Program(node.address)


def test_check_shows_every_mistake(program: Program, tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    tree = make_tree()
    tree["route"][0]["service"] = "shop"
    tree["service"][0]["worker"] = 3
    file.write_text(render_toml(tree))
    result = program.run("check", str(file))
    assert result.code == ExitCode.DOCUMENT_INVALID
    assert f'{file}: service[1].worker: unknown key; did you mean "workers"?' in result.err
    assert f"{file}: route[1].service: no [[service]] has the name" in result.err
    assert "[document-invalid; step check-document]" in result.err

    errors = json.loads(program.run("check", str(file), "--json").err)
    codes = {mistake["code"] for mistake in errors["mistakes"]}
    assert codes == {"key-unknown", "service-missing"}


def test_check_against_shows_the_difference(program: Program, tmp_path: Path) -> None:
    text = Path(PLOTLIST).read_text().replace("deadline-ms = 2000", "deadline-ms = 1500")
    result = program.run("check", "-", "--against", PLOTLIST, stdin=text)
    assert result.code == ExitCode.DONE
    assert "  route queue-position: deadline-ms 2000 -> 1500\n" in result.out


# The document in force was refused once its times due had passed.
def test_times_due_of_the_document_in_force_may_have_passed(
    program: Program, tmp_path: Path
) -> None:
    file = tmp_path / "a.toml"
    file.write_text(render_toml(make_tree()))
    program.now += 700
    assert program.run("check", str(file)).code == ExitCode.DOCUMENT_INVALID
    assert program.run("check", str(file), "--against", str(file)).code == ExitCode.DONE


def test_check_shows_warnings_and_fails_on_them_only_if_asked(
    program: Program, tmp_path: Path
) -> None:
    file = tmp_path / "a.toml"
    tree = make_tree()
    tree["route"][0]["deadline-ms"] = 100
    file.write_text(render_toml(tree))
    result = program.run("check", str(file))
    assert result.code == ExitCode.DONE
    first, second = result.out.splitlines()
    assert first.startswith(f"{file}: no mistakes, 1 warning; 2 services, 3 routes, digest ")
    assert second == (
        f'{file}: warning: route "read".deadline-ms: calls end after 100 ms, before the latency-ms '
        '250 of service "desk" [deadline-below-objective]'
    )
    result = program.run("check", str(file), "--fail-on-warnings", "--json")
    assert result.code == ExitCode.WARNINGS
    (warning,) = json.loads(result.out)["warnings"]
    assert (warning["place"], warning["code"]) == (
        'route "read".deadline-ms',
        "deadline-below-objective",
    )
    assert program.run("check", PLOTLIST, "--fail-on-warnings").code == ExitCode.DONE


def test_check_shows_the_difference_from_the_document_on_the_node(
    program: Program, node: FakeNode
) -> None:
    text = Path(PLOTLIST).read_text()
    node.document = parse_document(text, file="a.toml", written_at=0.0)
    try:
        same = program.run("check", PLOTLIST)
        changed = text.replace("deadline-ms = 2000", "deadline-ms = 1500")
        other = program.run("check", "-", "--node", node.address, stdin=changed)
        body = json.loads(program.run("check", "-", "--json", stdin=changed).out)
    finally:
        node.document = None
    source = f"node {node.address}"
    line = "route queue-position: deadline-ms 2000 -> 1500"
    assert same.out.endswith(f"is the same as the document in force on {source}\n")
    assert other.out.splitlines()[1:] == [
        f"-: differs from the document in force on {source}",
        f"  {line}",
    ]
    assert (body["compared_with"], body["difference"]) == (source, [line])
    assert not node.events


# A check needs no node: the environment of an operator may name one that is down.
@pytest.mark.parametrize("variable", ["BALSAMHEAD_NODE", "BALSAMHEAD_OPERATOR_TOKEN"])
def test_check_runs_without_the_node_of_the_environment(program: Program, variable: str) -> None:
    program.environ[variable] = "127.0.0.1:1" if variable == "BALSAMHEAD_NODE" else ""
    result = program.run("check", PLOTLIST)
    assert result.code == ExitCode.DONE
    assert result.err.startswith("balsamhead: not compared: ")
    result = program.run("check", PLOTLIST, "--json")
    assert (result.code, result.err) == (ExitCode.DONE, "")
    body = json.loads(result.out)
    assert body["compared_with"] == ""
    assert body["not_compared"]


def test_check_fails_if_the_node_of_its_option_does_not_answer(program: Program) -> None:
    assert program.run("check", PLOTLIST, "--node", "127.0.0.1:1").code == ExitCode.UNREACHABLE
    program.environ["BALSAMHEAD_OPERATOR_TOKEN"] = "wrong-token-of-the-tests"
    result = program.run("check", PLOTLIST, "--node", program.environ["BALSAMHEAD_NODE"])
    assert result.code == ExitCode.AUTHENTICATION


def test_check_with_a_node_without_a_document_says_so(program: Program, node: FakeNode) -> None:
    result = program.run("check", PLOTLIST, "--node", node.address)
    assert result.code == ExitCode.DONE
    assert "not compared: no document is in force yet" in result.err
    assert result.out.count("\n") == 1


def test_publish_reports_the_accepted_version(program: Program, node: FakeNode) -> None:
    digest = program.run("check", PLOTLIST).out.split()[-1]
    node.answer = msgspec.structs.replace(ACCEPTED, digest=digest)
    result = program.run("publish", PLOTLIST, "--base", "5")
    first, *changes = result.out.splitlines()
    assert (result.code, first) == (0, f"accepted: version 7, digest {digest}")
    assert "  service plot-registry: added" in changes
    (event,) = node.events
    assert isinstance(event, PublishRequested)
    assert event.base == 5


def test_refused_publish_shows_the_difference_from_the_current_document(
    program: Program, node: FakeNode
) -> None:
    node.answer = PublishResponse("refused", "base-stale", "8 came first", 8, "", ("a -> b",))
    result = program.run("publish", PLOTLIST)
    assert result.code == ExitCode.REFUSED
    context = f"[base-stale; step publish, peer {node.address}]"
    assert f"balsamhead: refused: 8 came first {context}\n" in result.err
    assert "  a -> b\n" in result.err
    assert json.loads(program.run("publish", PLOTLIST, "--json").out)["code"] == "base-stale"


def test_unknown_outcome_suggests_the_status_command(program: Program, node: FakeNode) -> None:
    node.answer = PublishResponse("unknown", "log-outcome-unknown", "no answer", -1, "")
    result = program.run("promote")
    assert result.code == ExitCode.OUTCOME_UNKNOWN
    assert "balsamhead status" in result.err


def test_rollout_sends_the_action(program: Program, node: FakeNode) -> None:
    assert program.run("rollout", "desk", "take-back").code == 0
    (event,) = node.events
    assert isinstance(event, RolloutRequested)
    assert (event.service, event.action) == ("desk", "take-back")


def test_status_prints_one_key_per_line(program: Program) -> None:
    result = program.run("status")
    lines = dict(line.split(": ", 1) for line in result.out.splitlines())
    assert lines["version"] == "9"
    assert lines["in-force"] == "6 of 8 nodes run 9, 2 run 7"
    assert lines["rollout desk"].startswith("1.0 -> 2.0 shifting; 25.0% of calls on 2.0; due 2030")
    assert json.loads(program.run("status", "--json").out)["rollouts"][0]["new"] == "2.0"


def test_status_shows_the_number_of_uncounted_nodes(program: Program, node: FakeNode) -> None:
    node.status = msgspec.structs.replace(STATUS, in_force=(VersionCount(9, 5),))
    assert "in-force: 5 of 8 nodes run 9, 3 not counted yet\n" in program.run("status").out


def test_report_is_printed_as_text_or_json(program: Program) -> None:
    assert program.run("report").out == "report as text\n"
    assert program.run("report", "--json").out == "report as json\n"


def test_shown_document_can_be_published_again(program: Program, node: FakeNode) -> None:
    text = Path(PLOTLIST).read_text()
    node.document = parse_document(text, file="a.toml", written_at=0.0)
    shown = program.run("show").out
    result = program.run("check", "-", "--against", PLOTLIST, stdin=shown)
    assert result.out.count("\n") == 1
    assert json.loads(program.run("show", "--json").out)["name"] == "plotlist"

    node.document = None
    result = program.run("show")
    assert result.code == ExitCode.REFUSED
    assert "document-missing" in result.err


def test_unwritable_report_file_is_an_error(program: Program) -> None:
    result = program.run("report", "--html", "/missing/report.html")
    assert result.code == ExitCode.USAGE
    assert "can't be written" in result.err


def test_settings_prints_the_reference(program: Program) -> None:
    assert "`tick_interval_s`" in program.run("settings").out


def test_error_shows_code_step_and_peer(program: Program, node: FakeNode) -> None:
    program.environ["BALSAMHEAD_OPERATOR_TOKEN"] = "wrong-token-of-the-tests"
    result = program.run("status")
    assert result.code == ExitCode.AUTHENTICATION
    assert f"[authentication-failed; step check-token, peer {node.address}]" in result.err


@pytest.mark.parametrize(
    ("argv", "environ", "code"),
    [
        (["status"], {"BALSAMHEAD_NODE": ""}, ExitCode.USAGE),
        (["status"], {"BALSAMHEAD_OPERATOR_TOKEN": ""}, ExitCode.USAGE),
        (["status", "--token-file", "/missing"], {}, ExitCode.USAGE),
        (["status"], {"BALSAMHEAD_NODE": "127.0.0.1:1"}, ExitCode.UNREACHABLE),
        (["publish", "/missing"], {}, ExitCode.USAGE),
        (["node", "--settings", "/missing"], {}, ExitCode.USAGE),
        (["rollout", "desk", "stop"], {}, ExitCode.USAGE),
        (["statsu"], {}, ExitCode.USAGE),
        ([], {}, ExitCode.USAGE),
        (["--help"], {}, ExitCode.DONE),
    ],
)
def test_exit_code_depends_on_the_kind_of_failure(
    program: Program, argv: list[str], environ: dict[str, str], code: ExitCode
) -> None:
    program.environ.update(environ)
    assert program.run(*argv).code == code


def test_misspelt_command_suggests_the_nearest_one(program: Program) -> None:
    assert 'did you mean "status"?' in program.run("statsu").err


def test_address_may_be_a_url(program: Program, node: FakeNode) -> None:
    assert program.run("status", "--node", f"http://{node.address}/").code == ExitCode.DONE


def test_watch_prints_only_changes(program: Program, node: FakeNode) -> None:
    everywhere = msgspec.structs.replace(STATUS, in_force=(VersionCount(9, 8),))
    done = msgspec.structs.replace(ROLLOUT, share=1.0, phase="done", next_step="")

    def change_status(number: int) -> None:
        if number == 2:
            later = msgspec.structs.replace(ROLLOUT, next_step="share 0.5 at 38 calls")
            node.status = msgspec.structs.replace(STATUS, rollouts=(later,))
        if number == 3:
            node.status = everywhere
        if number == 5:
            node.status = msgspec.structs.replace(everywhere, rollouts=(done,))

    program.on_sleep = change_status
    result = program.run("watch", "--until-done")
    assert result.code == ExitCode.DONE
    assert [line.split(" ", 1)[1] for line in result.out.splitlines()[6:]] == [
        "in-force: 8 of 8 nodes run 9",
        "rollout desk: 1.0 -> 2.0 done",
    ]
    assert program.sleeps == 5


def test_watch_reports_an_unreachable_node_once_and_goes_on(
    program: Program, node: FakeNode
) -> None:
    address = node.address
    program.environ["BALSAMHEAD_NODE"] = "127.0.0.1:1"
    result = program.run("watch", "--timeout", "3")
    assert result.code == ExitCode.TIMED_OUT
    assert result.out.count("node-unreachable") == 1
    assert address == node.address


def test_watch_has_its_own_exit_code_for_a_rollback(program: Program, node: FakeNode) -> None:
    rolled_back = msgspec.structs.replace(ROLLOUT, phase="taken-back", reason="errors 5.1%")
    node.status = msgspec.structs.replace(
        STATUS, in_force=(VersionCount(9, 8),), rollouts=(rolled_back,)
    )
    result = program.run("watch", "--until-done")
    assert result.code == ExitCode.ROLLED_BACK
    assert "taken-back; errors 5.1%" in result.out


def test_node_reports_all_mistakes_of_its_settings(program: Program, tmp_path: Path) -> None:
    path = write_settings(tmp_path, call_threads=0, log_level="loud")
    result = program.run("node", "--settings", str(path))
    assert result.code == ExitCode.USAGE
    assert "call_threads" in result.err
    assert "log_level" in result.err


def test_every_exit_code_is_documented() -> None:
    page = (ROOT / "docs" / "operators" / "command-line.md").read_text()
    missing = [code for code in ExitCode if f"| {code.value} |" not in page]
    assert missing == []


def test_node_command_does_not_load_the_command_line_library() -> None:
    import subprocess

    code = "import sys, balsamhead._cli as c; c.main(['node', '--settings', '/missing']);"
    code += "sys.exit('cappa' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], stderr=subprocess.DEVNULL).returncode == 0
