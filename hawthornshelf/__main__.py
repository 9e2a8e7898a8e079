"""Run the command line with `python -m hawthornshelf`."""

from hawthornshelf.cli import main

main()
