"""Check that the platform's names occur in its adapter only."""

import re
from pathlib import Path

import hawthornshelf

FOLDER = Path(hawthornshelf.__file__).parent
PLATFORM_NAMES = re.compile(
    r"X-(Answer-Stamp|Expect-|Kv-|Token-Counts|Prompt-Prefix|Not-Executed|Stage"
    r"|Deadline-Ms|Request-Id|Request-Priority|Pin-Ms|Duty-Holder|Fence-Token)|Kv-Fetch|KvHandle|Config\.(Get"
    r"|Replace)|HAWTHORNSHELF_BOOT|PathPrefix|TimeoutMs|SloMs|ColdLeftMs|PageToken"
    r"|DutyPerS|LeaseMs|ThawMs|ReportWindowS|UsageLateS|UsageOff|TrafficSplit|MaxAttempts|southernveil|readyz",
)


def test_the_package_does_not_use_names_of_the_platform() -> None:
    found = [
        f"{path.name}:{number}"
        for path in sorted(FOLDER.rglob("*.py"))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert found == []
