"""HTTP/1.1 over asyncio: a server for callers and a client with pooled connections."""
