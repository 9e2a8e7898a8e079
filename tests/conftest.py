"""Make `southernveil` importable, and Hypothesis generate the same examples."""

import sys
from pathlib import Path

from hypothesis import settings

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
