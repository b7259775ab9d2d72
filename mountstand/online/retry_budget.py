"""A budget that keeps retries a small share of the traffic, so that failures cause no storm."""

from __future__ import annotations

DEPOSIT_PER_REQUEST = 0.1
"""One retry is earned by ten requests."""

MAX_BALANCE = 20.0
"""Retries that may come at once, for example when a worker with many requests dies."""


class RetryBudget:
    """Counts what requests earned and retries spent. Not thread-safe by itself."""

    def __init__(self) -> None:
        self.balance = MAX_BALANCE

    def deposit(self) -> None:
        """Count one new request."""
        self.balance = min(MAX_BALANCE, self.balance + DEPOSIT_PER_REQUEST)

    def withdraw(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
