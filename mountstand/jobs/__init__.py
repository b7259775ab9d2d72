"""Batch jobs whose truth lies in the row store: acceptance, ownership, execution, results."""
