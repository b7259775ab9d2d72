"""Quarantine for requests that repeatedly crash the workers that run them.

Requests are tracked by content: a hash of the request without its id (``content_key``), so that
retries of a request share it.
"""
