import pytest

from hawthornshelf.errors import SettingError
from hawthornshelf.settings import SETTINGS, read_settings
from tests.fleet import ROOT

GOOD = {
    "node": "tt-a1",
    "data-centre": "tt-north-a",
    "listen": "127.0.0.1:8001",
    "peer-listen": "127.0.0.1:9001",
    "control": "tt-a1=127.0.0.1:9001",
}


def test_flags_take_precedence_over_the_environment() -> None:
    environment = {"HAWTHORNSHELF_NODE": "other", "HAWTHORNSHELF_LINGER": "3"}
    settings, values = read_settings(GOOD, environment)
    assert settings.node == "tt-a1"
    assert settings.linger.total_seconds() == 3
    origins = {value.setting.name: value.origin for value in values}
    assert origins["node"] == "--node"
    assert origins["linger"] == "HAWTHORNSHELF_LINGER"
    assert origins["seed"] == "default"


def test_all_errors_are_raised_in_one_group() -> None:
    bad = {**GOOD, "node": "Bad Name", "listen": "nowhere", "linger": "-1"}
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(bad, {})
    assert all(isinstance(error, SettingError) for error in caught.value.exceptions)
    assert {e.name for e in caught.value.exceptions} == {"node", "listen", "linger"}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("roles", "driver"),
        ("listen", "1.2.3.4:70000"),
        ("listen", "host:80"),
        ("control", ""),
        ("control", "a=1.2.3.4:1,a=1.2.3.4:2"),
        ("election", "0.01"),
        ("platform", "ftp://x"),
        ("log-level", "loud"),
        ("seed", "-3"),
        ("peer-advertise", "x"),
    ],
)
def test_the_error_for_a_bad_value_names_what_is_allowed(name: str, value: str) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        read_settings({**GOOD, name: value}, {})
    (error,) = caught.value.exceptions
    assert error.name == name
    assert error.allowed


def test_a_control_node_needs_a_data_folder_and_its_own_address() -> None:
    flags = {**GOOD, "roles": "control", "control": "b=127.0.0.1:1"}
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(flags, {})
    assert {error.name for error in caught.value.exceptions} == {"data", "control"}


def test_secrets_are_not_printed() -> None:
    _, values = read_settings({**GOOD, "operator-token": "hush"}, {})
    assert "hush" not in [value.display_text() for value in values]


def test_the_operations_page_documents_every_setting() -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for setting in SETTINGS:
        assert f"`--{setting.name}`" in page, setting.name
        assert setting.variable in page
