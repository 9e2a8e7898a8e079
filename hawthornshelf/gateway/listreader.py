"""Read the platform's list of runners, and log what is odd about it as that changes."""

from hawthornshelf.errors import HawthornshelfError
from hawthornshelf.gateway.contract import RunnerSource
from hawthornshelf.gateway.runnerids import EntryChoice, choose_entries
from hawthornshelf.gateway.runners import RunnerList
from hawthornshelf.logs import write_log

__all__ = ["ListReader"]

MAX_LOGGED_CHOICES = 16
"""Runners named more than once that are logged of one list."""


class ListReader:
    """Read the list with one entry for each runner.

    Of failures in a row only the first is logged, and what is odd about the entries
    only as it changes.
    """

    def __init__(self, source: RunnerSource) -> None:
        self._source = source
        self._is_available = True
        self._logged: frozenset[tuple[tuple[str, str], ...]] = frozenset()
        self._unusable = 0

    async def read(self) -> RunnerList | None:
        """Return the whole list, None if reading it fails."""
        try:
            runner_list = await self._source.read()
        except HawthornshelfError as error:
            if self._is_available:
                write_log("list-lost", peer=error.peer, reason=error.reason)
            self._is_available = False
            return None
        if not self._is_available:
            write_log("list-regained", runners=len(runner_list.runners))
        self._is_available = True
        self._log_unusable(runner_list)
        runners, choices = choose_entries(runner_list.runners)
        self._log_choices(choices)
        return runner_list._replace(runners=runners)

    def _log_unusable(self, runner_list: RunnerList) -> None:
        if runner_list.unusable != self._unusable:
            write_log(
                "list-entries-unusable",
                entries=runner_list.unusable,
                runners=len(runner_list.runners),
            )
        self._unusable = runner_list.unusable

    def _log_choices(self, choices: tuple[EntryChoice, ...]) -> None:
        due = choices[:MAX_LOGGED_CHOICES]
        known, self._logged = self._logged, frozenset(choice.places for choice in due)
        for choice in due:
            if choice.places in known:
                continue
            other = choice.dropped[0]
            write_log(
                "runner-listed-twice",
                runner=choice.kept.name,
                boot=choice.kept.boot,
                address=choice.kept.address,
                entries=1 + len(choice.dropped),
                other_boot=other.boot,
                other_address=other.address,
                runners=len(choices),
            )
