"""Load generation, experiments and history checking."""
