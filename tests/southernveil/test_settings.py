from pathlib import Path

import pytest
from southernveil.settings import read_settings

from hawthornshelf.duties import Duty, DutySettings
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


def test_no_duty_is_performed_unless_the_platform_gives_it(tmp_path: Path) -> None:
    settings = make_settings(tmp_path, "127.0.0.1", "control", PORTS, "10.200.0.4:8142")
    assert settings.duties == DutySettings(holder="front-127.0.0.1")


def write_duties(tmp_path: Path, cloud: str, bounds: str) -> Path:
    make_settings(tmp_path, "127.0.0.1", "control", PORTS, "10.200.0.4:8142")
    path = tmp_path / "control-127.0.0.1.toml"
    text = path.read_text().replace("[Cloud]\n", f"[Cloud]\n{cloud}\n")
    path.write_text(text.replace("[Bounds]\n", f"[Bounds]\n{bounds}\n"))
    return path


def test_duties_and_their_limits_are_decoded(tmp_path: Path) -> None:
    path = write_duties(
        tmp_path,
        'Duties = ["usage", "autoscale"]\nDutyPerS = 20',
        "Fencing = true\nLeaseMs = 4000\nThawMs = 200\nReportWindowS = 6\n"
        "UsageLateS = 12\nUsageOff = 0.05",
    )
    assert read_settings(path).duties == DutySettings(
        frozenset({Duty.USAGE, Duty.ENGINES}),
        "front-127.0.0.1",
        20,
        True,
        4.0,
        0.2,
        6,
        12,
    )


def test_an_unknown_duty_and_a_rate_of_zero_are_reported(tmp_path: Path) -> None:
    path = write_duties(
        tmp_path, 'Duties = ["usage", "billing"]\nDutyPerS = 0', "ReportWindowS = 0"
    )
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(path)
    names = {error.name for error in caught.value.exceptions}
    assert names == {"Cloud.Duties", "Cloud.DutyPerS", "Bounds.ReportWindowS"}
