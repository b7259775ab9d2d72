"""Online requests: routes, workers, the choice between them, and forwarding."""
