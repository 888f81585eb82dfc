"""Parse and check organisation keys and strip them from forwarded requests.

A key is a public id and a secret. A credential is the form in which a request
carries a key, such as a header; its identity is the organisation and the id
of the key, once that has been authenticated.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from hmac import compare_digest
import re
from urllib.parse import parse_qsl
from urllib.parse import unquote_to_bytes
from urllib.parse import urlencode

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.model import KeyId
from jackdawfield.model import KeyRecord
from jackdawfield.model import OrganisationId

KEY_PREFIX = 'jf'
SECRET_BYTES = 32

# The form of an accepted key; its secret is lower-case hex.
_KEY_PATTERN = re.compile(r'jf_([a-z0-9]{1,32})_([0-9a-f]{64})')
# Finds leaked keys, also those whose letter case was changed.
_KEY_BYTES_PATTERN = re.compile(
    rb'jf_[a-z0-9]{1,32}_[0-9a-f]{64}', re.IGNORECASE
)
_JSON_ESCAPE_PATTERN = re.compile(rb'\\u00([0-7][0-9a-f])', re.IGNORECASE)
_CREDENTIAL_HEADERS = frozenset(
    {
        'authorization',
        'proxy-authorization',
        'cookie',
        'x-api-key',
        'api-key',
    }
)


class CredentialFault(Enum):
    """Lists the reasons why a request's key is not accepted."""

    MISSING = 'missing'
    MALFORMED = 'malformed'
    UNKNOWN = 'unknown'
    WITHDRAWN = 'withdrawn'


@dataclass(frozen=True, slots=True)
class CredentialError:
    """Reports why a key was refused, without any part of its secret."""

    fault: CredentialFault


@dataclass(frozen=True, slots=True, repr=False)
class Key:
    """Holds a key in plain text; its repr omits the secret."""

    key_id: KeyId
    secret: str

    def __repr__(self) -> str:
        """Return a form with the key's public id and without the secret."""
        return f'Key(key_id={self.key_id!r})'

    def plain_text(self) -> str:
        """Return the key with its secret, in the form that a caller sends."""
        return f'{KEY_PREFIX}_{self.key_id}_{self.secret}'


@dataclass(frozen=True, slots=True)
class Identity:
    """Identifies the organisation and key of a request."""

    organisation_id: OrganisationId
    key_id: KeyId


class KeyLocation(Enum):
    """Lists the parts of a request from which a key cannot be stripped."""

    PATH = 'path'
    BODY = 'body'


@dataclass(frozen=True, slots=True)
class KeyExposed:
    """Refuses a request, with status 400, whose path or body has a key."""

    location: KeyLocation


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """Holds the parts of a request that go to a backend server."""

    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def new_key(
    key_id: KeyId, random_bytes: bytes
) -> Result[Key, CredentialError]:
    """Return a key whose secret is the given random bytes.

    The error is MALFORMED if the id or the number of bytes is not valid.
    """
    key = Key(key_id, random_bytes.hex())
    if _KEY_PATTERN.fullmatch(key.plain_text()) is None:
        return Err(CredentialError(CredentialFault.MALFORMED))
    return Ok(key)


def secret_digest(secret: str) -> str:
    """Return the SHA-256 digest that is stored in place of a secret."""
    return sha256(secret.encode()).hexdigest()


def parse_authorization(header: str | None) -> Result[Key, CredentialError]:
    """Return the key of an Authorization header of the Bearer scheme."""
    if not header:
        return Err(CredentialError(CredentialFault.MISSING))
    scheme, _, text = header.partition(' ')
    match = _KEY_PATTERN.fullmatch(text.strip())
    if scheme.lower() != 'bearer' or match is None:
        return Err(CredentialError(CredentialFault.MALFORMED))
    return Ok(Key(KeyId(match[1]), match[2]))


def check_key(
    key: Key, keys_by_id: Mapping[KeyId, KeyRecord]
) -> Result[Identity, CredentialError]:
    """Return the identity of a key.

    The error is WITHDRAWN only if the secret matches, else UNKNOWN.
    """
    record = keys_by_id.get(key.key_id)
    # An unknown id takes the same time as a wrong secret, so that the time of
    # a refusal does not disclose which ids exist.
    expected = record.secret_sha256 if record else secret_digest('')
    matches = compare_digest(secret_digest(key.secret), expected)
    if record is None or not matches:
        return Err(CredentialError(CredentialFault.UNKNOWN))
    if record.withdrawn:
        return Err(CredentialError(CredentialFault.WITHDRAWN))
    return Ok(Identity(record.organisation_id, record.key_id))


def authenticate(
    header: str | None, keys_by_id: Mapping[KeyId, KeyRecord]
) -> Result[Identity, CredentialError]:
    """Return the identity that an Authorization header proves."""
    return parse_authorization(header).and_then(
        lambda key: check_key(key, keys_by_id)
    )


def contains_key(data: bytes, authenticated_secret: str | None = None) -> bool:
    """Return whether data contains any key or the authenticated secret.

    The authenticated secret is that of the request's own key, which may stand
    in the data without the key's prefix and id. Data is searched as it is,
    percent-decoded, and with its \\u00xx escapes of JSON decoded.
    """
    return any(
        _contains_plain(form, authenticated_secret)
        for form in (
            data,
            unquote_to_bytes(data),
            _JSON_ESCAPE_PATTERN.sub(
                lambda match: bytes.fromhex(match[1].decode()), data
            ),
        )
    )


def _contains_plain(data: bytes, authenticated_secret: str | None) -> bool:
    if _KEY_BYTES_PATTERN.search(data):
        return True
    # Secrets are lower-case hex, and a changed letter case must be found too.
    return (
        bool(authenticated_secret)
        and str(authenticated_secret).encode() in data.lower()
    )


def strip_credentials(
    request: OutboundRequest, authenticated_secret: str | None = None
) -> Result[OutboundRequest, KeyExposed]:
    """Return the request without credentials in its query and headers.

    Authorization, cookie and API key headers are removed whatever they hold,
    other headers and query parameters if they contain a key. The error is
    KeyExposed if the path or the body contains a key.
    """
    if contains_key(request.path.encode(), authenticated_secret):
        return Err(KeyExposed(KeyLocation.PATH))
    if body_contains_key(request.body, authenticated_secret):
        return Err(KeyExposed(KeyLocation.BODY))
    return Ok(
        OutboundRequest(
            path=request.path,
            query=_strip_query(request.query, authenticated_secret),
            headers=_strip_headers(request.headers, authenticated_secret),
            body=request.body,
        )
    )


def body_contains_key(
    body: bytes, authenticated_secret: str | None = None
) -> bool:
    """Return whether a body contains a key, also behind combined escapes.

    A body of JSON is searched in its decoded form too, which finds a key that
    is percent-encoded with its percent signs escaped.
    """
    if contains_key(body, authenticated_secret):
        return True
    if b'\\' not in body:
        return False
    try:
        plain = msgspec.json.encode(msgspec.json.decode(body))
    except msgspec.MsgspecError:
        return False
    return contains_key(plain, authenticated_secret)


def _strip_headers(
    headers: tuple[tuple[str, str], ...], authenticated_secret: str | None
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _CREDENTIAL_HEADERS
        and not contains_key(f'{name}: {value}'.encode(), authenticated_secret)
    )


def _strip_query(query: str, authenticated_secret: str | None) -> str:
    if not contains_key(query.encode(), authenticated_secret):
        return query
    kept = [
        (name, value)
        for name, value in parse_qsl(query, keep_blank_values=True)
        if not contains_key(f'{name}={value}'.encode(), authenticated_secret)
    ]
    stripped = urlencode(kept)
    # The whole query is dropped if its other parameters, encoded anew, still
    # contain a key.
    return (
        ''
        if contains_key(stripped.encode(), authenticated_secret)
        else stripped
    )
