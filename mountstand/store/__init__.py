"""Ports to the table, the object store and the machine list, and their adapters."""
