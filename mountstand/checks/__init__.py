"""Checkers that read what happened and say whether the promises held."""
