"""Errors of callers' keys and limits."""

from __future__ import annotations

from mountstand.errors import Executed, MountstandError, RequestRejected


class UnknownKey(RequestRejected):
    """No tenant holds the key, or none was sent where one is needed."""

    code = "unknown_key"
    title = "The key is missing or belongs to no tenant"
    remedy = "Send a key of a tenant that the configuration in force lists."
    http_status = 401


class KeyNotVerifiable(MountstandError):
    """The key is not known here, but the configuration here may be out of date."""

    code = "key_not_verifiable"
    title = "This daemon cannot tell whether the key is valid"
    remedy = "Send the request to another daemon; check this one's way to the store."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 0.2


class TenantOverLimit(MountstandError):
    """The tenant sends more than it may."""

    code = "tenant_over_limit"
    title = "The tenant is over its limit of requests"
    remedy = "Send it again after the time in Retry-After, or ask the operator for a higher limit."
    http_status = 429
    default_executed = Executed.NO
    default_retry_after_s = 1.0
