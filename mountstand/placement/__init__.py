"""Placement of model versions on engines: target against actual, by fenced orders."""
