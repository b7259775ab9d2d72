"""Tenants: whose key a caller presents, and how many requests each tenant may send."""
