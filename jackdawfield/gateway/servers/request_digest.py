"""Identify requests with the same content."""

from hashlib import blake2b

from jackdawfield.gateway.calls import Call
from jackdawfield.messages.fleet_quarantine import RequestDigest

DIGEST_BYTES = 16


def digest_of(call: Call) -> RequestDigest:
    """Return what the same request has at each instance and time.

    It covers who sent it, to where, and its body; not its headers, which
    differ from one attempt to the next.
    """
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for text in (
        call.organisation_id or '',
        call.method,
        call.headers.host,
        call.target,
    ):
        encoded = text.encode(errors='surrogateescape')
        hasher.update(b'%d:' % len(encoded))
        hasher.update(encoded)
    hasher.update(call.body)
    return RequestDigest(hasher.digest())
