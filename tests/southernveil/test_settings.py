from pathlib import Path

import pytest
from southernveil.settings import read_settings

from tests.southernveil.fakes import make_settings

PORTS = [8144, 8140, 8146, 8143, 7660]


def test_the_platforms_fields_are_decoded(tmp_path: Path) -> None:
    settings = make_settings(tmp_path, "127.0.0.1", "entry", PORTS, "10.200.0.4:8142")
    assert settings.data_centre == "z-a"
    assert settings.caller_address == "127.0.0.1:8144"
    assert settings.list_address == "10.200.0.4:8142"
    assert settings.retry_limits == (0.2, 60, 10)
    assert settings.peer_address("control") == "127.0.0.1:7660"
    assert settings.peer_address("entry") == "127.0.0.1:7661"
    assert settings.control_peers() == ["127.0.0.1:7660"]


def test_all_missing_and_invalid_fields_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text('Role = 7\nIp = "10.0.0.1"\n[Bounds]\nGraceS = "long"\n')
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(path)
    names = {error.name for error in caught.value.exceptions}
    assert names == {"NodeName", "Role", "Zone", "PortRange", "Bounds.GraceS"}


@pytest.mark.parametrize("text", [None, "this is = not [ toml"])
def test_an_unreadable_file_is_reported_as_one_error(
    tmp_path: Path, text: str | None
) -> None:
    path = tmp_path / "node.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(path)
    assert [error.name for error in caught.value.exceptions] == ["file"]
