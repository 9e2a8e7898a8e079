"""Write a replica's state from one thread, with one sync for many batches."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from hawthornshelf.errors import StorageFailed
from hawthornshelf.events import Event, Persisted, StorageLost
from hawthornshelf.log import Persist
from hawthornshelf.storage import Storage

__all__ = ["DiskWriter"]


class DiskWriter:
    """Queue Persist effects and post a Persisted event once they are synced."""

    def __init__(self, storage: Storage, post: Callable[[Event], None]) -> None:
        self._storage = storage
        self._post = post
        self._queue: list[Persist] = []
        self._busy = False
        self._failed = False
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")

    def write(self, batch: Persist) -> None:
        """Queue a batch; all queued batches are written together (group commit)."""
        self._queue.append(batch)
        if not self._busy and not self._failed:
            self._busy = True
            asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Wait for the writer thread to finish and close the storage."""
        self._thread.shutdown(wait=True)
        self._storage.close()

    def abandon(self) -> None:
        """Stop the writer thread, but leave the storage open for its successor."""
        self._thread.shutdown(wait=False)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and not self._failed:
            batches, self._queue = self._queue, []
            try:
                await loop.run_in_executor(self._thread, self._storage.write, batches)
            except StorageFailed as error:
                self._failed = True
                self._post(StorageLost(str(error)))
            else:
                self._post(Persisted(batches[-1].sequence))
        self._busy = False
