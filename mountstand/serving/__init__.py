"""Online serving: routes, the worker directory, load balancing among workers, and forwarding."""
