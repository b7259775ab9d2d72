"""Batch jobs, with the row store as source of truth: acceptance, ownership, execution, results."""
