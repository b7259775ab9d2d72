"""Counters and structured logs."""
