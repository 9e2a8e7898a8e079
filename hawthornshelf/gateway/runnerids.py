"""Choose one entry for each runner that a list names more than once."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthornshelf.gateway.runners import Runner

__all__ = ["EntryChoice", "choose_entries"]


class EntryChoice(NamedTuple):
    """Represent the entry that holds of those with one name, and the others."""

    kept: Runner
    dropped: tuple[Runner, ...]

    @property
    def places(self) -> tuple[tuple[str, str], ...]:
        """Return the boots and their addresses, the one that holds first."""
        return tuple((r.key, r.address) for r in (self.kept, *self.dropped))


def choose_entries(
    runners: Iterable[Runner],
) -> tuple[tuple[Runner, ...], tuple[EntryChoice, ...]]:
    """Return one entry for each name, in order, and what was chosen where that is due.

    The latest boot holds: earlier ones have ended, though the list may lag. Of one boot
    an entry that leaves holds, as no boot takes back its notice. Between others the
    choice is the same whatever their order, so that reads agree.
    """
    entries: dict[str, list[Runner]] = {}
    for runner in runners:
        entries.setdefault(runner.name, []).append(runner)
    choices = [_choose(found) for found in entries.values()]
    kept = tuple(choice.kept for choice in choices)
    return kept, tuple(choice for choice in choices if choice.dropped)


def _choose(found: list[Runner]) -> EntryChoice:
    place = max(range(len(found)), key=lambda place: _rank(found[place]))
    return EntryChoice(found[place], (*found[:place], *found[place + 1 :]))


def _rank(runner: Runner) -> tuple[int, bool, str, str, str, str, str, int]:
    return (
        runner.boot,
        runner.is_leaving,
        runner.address,
        runner.service,
        runner.data_centre,
        runner.stage.value,
        runner.build,
        runner.slots,
    )
