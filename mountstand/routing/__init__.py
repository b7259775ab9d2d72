"""Choice of a back end for one request."""
