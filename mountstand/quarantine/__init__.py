"""Holds back requests that crash the workers that run them."""
