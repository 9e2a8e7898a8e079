"""Format rows as a plain text table."""

from collections.abc import Iterable, Sequence

__all__ = ["format_table"]


def format_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a left-aligned table of the rows below a header row."""
    cells = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = []
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)
