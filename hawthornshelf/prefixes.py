"""Remember which prompt prefixes each engine probably still caches."""

__all__ = ["PrefixTable"]

MAX_BLOCKS_PER_ENGINE = 2000


class PrefixTable:
    """Hold block digests per engine, least recently used first."""

    def __init__(self) -> None:
        self._blocks: dict[str, dict[str, None]] = {}

    def match(self, upstream: str, blocks: tuple[str, ...]) -> int:
        """Return how many leading blocks the engine probably holds."""
        held = self._blocks.get(upstream, {})
        count = 0
        for block in blocks:
            if block not in held:
                break
            count += 1
        return count

    def add(self, upstream: str, blocks: tuple[str, ...]) -> None:
        """Note that an engine has just used these blocks, or says that it has.

        Engines publish late and with gaps, so this is a hint. What an engine
        drops is not told; the least recently used go here as they do there.
        """
        held = self._blocks.setdefault(upstream, {})
        for block in blocks:
            held.pop(block, None)
            held[block] = None
        while len(held) > MAX_BLOCKS_PER_ENGINE:
            del held[next(iter(held))]

    def forget(self, upstream: str) -> None:
        """Drop all that was noted of an engine."""
        self._blocks.pop(upstream, None)
