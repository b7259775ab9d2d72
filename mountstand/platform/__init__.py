"""Ports to the platform's services (table, objects, machine list) and their adapters."""
