import unittest
from urllib.parse import quote

from jackdawfield.decisions.credentials import authenticate
from jackdawfield.decisions.credentials import check_key
from jackdawfield.decisions.credentials import CredentialFault
from jackdawfield.decisions.credentials import KeyLocation
from jackdawfield.decisions.credentials import new_key
from jackdawfield.decisions.credentials import OutboundRequest
from jackdawfield.decisions.credentials import secret_digest
from jackdawfield.decisions.credentials import strip_credentials
from jackdawfield.model import KeyId
from jackdawfield.model import KeyRecord
from jackdawfield.model import OrganisationId

KEY = new_key(KeyId('k1'), bytes(range(32))).unwrap()
TEXT = KEY.plain_text()
RECORD = KeyRecord(KeyId('k1'), OrganisationId('a'), secret_digest(KEY.secret))
WITHDRAWN = KeyRecord(
    KeyId('k1'), OrganisationId('a'), RECORD.secret_sha256, withdrawn=True
)
ESCAPED = TEXT.replace('j', '\\u006a', 1).replace('_', '\\u005F')


def outbound(
    path='/v1', query='', headers=(), body=b'{}', strip=strip_credentials
):
    request = OutboundRequest(path, query, tuple(headers), body)
    return strip(request, KEY.secret)


def forwarded_bytes(request):
    headers = ''.join(f'{name}:{value}' for name, value in request.headers)
    text = request.path + request.query + headers
    return text.encode() + request.body


class AuthenticateTest(unittest.TestCase):
    def fault(self, header, record=RECORD):
        records = {record.key_id: record} if record else {}
        return authenticate(header, records).unwrap_err().fault

    def test_key_identifies_its_organisation(self):
        found = authenticate(f'Bearer {TEXT}', {KeyId('k1'): RECORD})
        self.assertEqual('a', found.unwrap().organisation_id)

    def test_each_refusal_has_its_fault(self):
        other = TEXT[:-1] + '0'
        for header, record, fault in (
            (None, RECORD, CredentialFault.MISSING),
            ('', RECORD, CredentialFault.MISSING),
            (TEXT, RECORD, CredentialFault.MALFORMED),
            (f'Basic {TEXT}', RECORD, CredentialFault.MALFORMED),
            (f'Bearer {TEXT}x', RECORD, CredentialFault.MALFORMED),
            (f'Bearer {other}', RECORD, CredentialFault.UNKNOWN),
            (f'Bearer {TEXT}', None, CredentialFault.UNKNOWN),
            (f'Bearer {TEXT}', WITHDRAWN, CredentialFault.WITHDRAWN),
            (f'Bearer {other}', WITHDRAWN, CredentialFault.UNKNOWN),
        ):
            with self.subTest(header=header):
                self.assertEqual(fault, self.fault(header, record))

    def test_too_few_random_bytes_are_refused(self):
        self.assertTrue(new_key(KeyId('k1'), b'short').is_err())

    def test_no_text_form_contains_the_secret(self):
        error = check_key(KEY, {}).unwrap_err()
        self.assertNotIn(KEY.secret, repr(KEY) + str(KEY) + repr(error))


class StripTest(unittest.TestCase):
    def test_headers_with_a_key_are_stripped(self):
        for name, value in (
            ('Authorization', f'Bearer {TEXT}'),
            ('X-Forwarded-Key', TEXT),
            ('X-Forwarded-Key', KEY.secret.upper()),
            ('Referer', f'http://a/?k={quote(TEXT)}'),
            (TEXT, 'x'),
        ):
            with self.subTest(name=name):
                request = outbound(headers=((name, value), ('Accept', '*')))
                self.assertEqual((('Accept', '*'),), request.unwrap().headers)

    def test_only_the_key_is_stripped_from_the_query(self):
        hidden = TEXT.replace('j', '%6A', 1)
        query = f'a=1&key={hidden}&b=%20'
        request = outbound(query=query).unwrap()
        self.assertEqual('a=1&b=+', request.query)

    def test_requests_without_keys_are_unchanged(self):
        request = outbound(query='a=%20&b', body=b'{"q": "\\u00e9"}').unwrap()
        self.assertEqual('a=%20&b', request.query)
        self.assertEqual(b'{"q": "\\u00e9"}', request.body)

    def test_body_or_path_with_a_key_is_refused(self):
        other = new_key(KeyId('k2'), bytes(32)).unwrap().plain_text()
        for text in (TEXT, KEY.secret, ESCAPED, quote(TEXT), other):
            with self.subTest(text=text):
                body = f'{{"messages": ["{text}"]}}'.encode()
                exposed = outbound(body=body).unwrap_err()
                self.assertIs(KeyLocation.BODY, exposed.location)
        exposed = outbound(path=f'/v1/{TEXT}').unwrap_err()
        self.assertIs(KeyLocation.PATH, exposed.location)

    def test_check_detects_stripping_of_authorization_only(self):
        def strip_authorization(request, secret):
            headers = tuple(
                item for item in request.headers if item[0] != 'Authorization'
            )
            return OutboundRequest(
                request.path, request.query, headers, request.body
            )

        headers = (('Authorization', TEXT), ('X-Key', TEXT))
        self.assertIn(
            KEY.secret.encode(),
            forwarded_bytes(
                outbound(headers=headers, strip=strip_authorization)
            ),
        )
        self.assertNotIn(
            KEY.secret.encode(),
            forwarded_bytes(outbound(headers=headers).unwrap()),
        )
