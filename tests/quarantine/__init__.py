"""Tests of the quarantine for requests that crash workers."""
