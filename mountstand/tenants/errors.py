"""Errors for callers with an unknown key or above their tenant's limit."""

from __future__ import annotations

from mountstand.errors import Executed, MountstandError, RequestRejected


class UnknownKey(RequestRejected):
    """The key belongs to no tenant, or the caller sent no key where one is required."""

    code = "unknown_key"
    title = "The key is missing or belongs to no tenant"
    remedy = "Send a key of a tenant that the configuration in force lists."
    http_status = 401


class KeyNotVerifiable(MountstandError):
    """The key is unknown to this daemon, whose configuration may be out of date."""

    code = "key_not_verifiable"
    title = "This daemon cannot tell whether the key is valid"
    remedy = "Send the request to another daemon; check this one's way to the store."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 0.2


class TenantOverLimit(MountstandError):
    """The tenant has exceeded its rate limit."""

    code = "tenant_over_limit"
    title = "The tenant is over its limit of requests"
    remedy = "Send it again after the time in Retry-After, or ask the operator for a higher limit."
    http_status = 429
    default_executed = Executed.NO
    default_retry_after_s = 1.0
