"""Batch jobs: acceptance, ownership, execution and results."""
