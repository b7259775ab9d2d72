"""A randomized fault soak of the serving process: ``python -m tests.soak --help``."""
