"""Read the platform's list of runners, and log when that fails and works again."""

from hawthornshelf.errors import HawthornshelfError
from hawthornshelf.gateway.contract import RunnerSource
from hawthornshelf.gateway.runners import RunnerList
from hawthornshelf.logs import write_log

__all__ = ["ListReader"]


class ListReader:
    """Read the list; of failures in a row only the first is logged."""

    def __init__(self, source: RunnerSource) -> None:
        self._source = source
        self._is_available = True

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
        return runner_list
