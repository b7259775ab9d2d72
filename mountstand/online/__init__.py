"""Online requests: admission, dispatch, retries and stream relay."""
