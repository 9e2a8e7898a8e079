from datetime import timedelta
from pathlib import Path

import pytest

from hawthornshelf.declarations import (
    check_configuration,
    diff_configurations,
    load_declaration,
    print_configuration,
)
from hawthornshelf.errors import DeclarationError
from tests.fleet import ROOT, make_configuration

EXAMPLES = ("bamboo_lantern", "southern_veil")


def load(name: str):
    return load_declaration(ROOT / "examples" / f"{name}.py")


@pytest.mark.parametrize("name", EXAMPLES)
def test_an_example_prints_in_a_stable_form(name: str, snapshot) -> None:
    assert print_configuration(load(name)) == snapshot


def test_the_printed_form_does_not_depend_on_the_order_of_declaration() -> None:
    configuration = load("bamboo_lantern")
    deployment = configuration.deployments[0]
    service = deployment.engines[0]
    reordered = service._replace(runners=service.runners[::-1])
    other = configuration._replace(
        deployments=(deployment._replace(engines=(reordered,)),)
    )
    assert print_configuration(other) == print_configuration(configuration)


def test_a_diff_shows_what_changes(snapshot) -> None:
    engines = {"g0": "127.0.0.1:1"}
    old = make_configuration(engines, {}, "1")
    new = make_configuration(engines, {}, "2")
    assert diff_configurations(old, new) == snapshot
    assert diff_configurations(new, new) == ""


def test_all_errors_are_reported_at_once() -> None:
    configuration = make_configuration(
        {"g0": "nowhere", "Bad Name": "1.2.3.4:99999"}, {}
    )
    deployment = configuration.deployments[0]
    objective = deployment.objectives[0]._replace(work="unknown", target=2.0)
    work = deployment.work[0]._replace(deadline=timedelta(0))
    invalid = configuration._replace(
        deployments=(deployment._replace(objectives=(objective,), work=(work,)),)
    )
    with pytest.raises(ExceptionGroup) as caught:
        check_configuration(invalid)
    text = "\n".join(str(error) for error in caught.value.exceptions)
    for part in ("nowhere", "Bad Name", "99999", "unknown", "target", "deadline"):
        assert part in text


def test_repeated_names_are_refused() -> None:
    configuration = make_configuration({"g0": "1.2.3.4:1"}, {"g0": "1.2.3.4:2"})
    with pytest.raises(ExceptionGroup, match="bad declaration"):
        check_configuration(configuration)


@pytest.mark.parametrize("text", ["x = 1", "1 / 0", "def"])
def test_an_error_for_a_broken_file_names_the_file(tmp_path: Path, text: str) -> None:
    path = tmp_path / "broken.py"
    path.write_text(text)
    with pytest.raises(DeclarationError, match="broken.py"):
        load_declaration(path)
