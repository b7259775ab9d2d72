"""Division of rate limits and other quotas among daemons, and sliding-window counters."""
