"""Tenants: identification of callers by API key, and rate limits per tenant."""
