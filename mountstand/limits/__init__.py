"""Division of rate limits and other quotas among daemons, and sliding-window counters.

Together the daemons must not exceed a limit within any window of time.
"""
