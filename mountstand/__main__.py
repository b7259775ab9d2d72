"""Run the command line with ``python -m mountstand``."""

from mountstand.cli.main import main

if __name__ == "__main__":
    main()
