"""Mountstand: a serving system for online and batch inference on one fleet."""

__version__ = "0.1.0"
