"""Track which prompt prefixes each engine probably has in its KV cache."""

__all__ = ["PrefixTable"]

MAX_BLOCKS_PER_ENGINE = 2000


class PrefixTable:
    """Store block digests per engine, least recently used first."""

    def __init__(self) -> None:
        self._blocks: dict[str, dict[str, None]] = {}

    def match(self, upstream: str, blocks: tuple[str, ...]) -> int:
        """Return how many leading blocks the engine probably caches."""
        cached = self._blocks.get(upstream, {})
        count = 0
        for block in blocks:
            if block not in cached:
                break
            count += 1
        return count

    def add(self, upstream: str, blocks: tuple[str, ...]) -> None:
        """Record blocks that were sent to an engine or that it reported as cached.

        Engines report late and with gaps, so the table is only a hint. They don't
        report evictions; like theirs, this cache evicts the least recently used
        blocks.
        """
        cached = self._blocks.setdefault(upstream, {})
        for block in blocks:
            cached.pop(block, None)
            cached[block] = None
        while len(cached) > MAX_BLOCKS_PER_ENGINE:
            del cached[next(iter(cached))]

    def forget(self, upstream: str) -> None:
        """Remove all blocks of an engine."""
        self._blocks.pop(upstream, None)
