"""Run the command line as `python -m mothnotch`."""

from mothnotch.cli import main

main()
