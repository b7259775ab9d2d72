"""The operators' settings tree: inheritance, revisions and propagation."""
