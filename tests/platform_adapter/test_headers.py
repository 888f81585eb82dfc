import unittest

from jackdawfield.gateway.calls import ForwardedHeaders
from jackdawfield.model import OrganisationId
from jackdawfield.model import ServerId
from jackdawfield.platform.headers import decode_headers
from jackdawfield.platform.headers import encode_headers

PAIRS = [
    ('Host', 'Ficu95.example:80'),
    ('X-Jackdawfield-Request-Id', '9c41'),
    ('X-Jackdawfield-Deadline-Ms', '4000'),
    ('X-Jackdawfield-Credential', 'secret'),
    ('X-Jackdawfield-Tenant', 'forged'),
    ('X-Jackdawfield-Expect-Instance', 'forged'),
    ('X-Jackdawfield-Hold', 'forged'),
    ('X-Jackdawfield-Pin-Ms', '9'),
    ('X-Jackdawfield-Kv-Backup', '10.0.0.1:1'),
    ('Kv-From', 'forged'),
    ('X-Jackdawfield-Token-Usage', '1840,286'),
    ('X-Jackdawfield-Token-Budget', '2288'),
    ('X-Jackdawfield-Previous-Turn', '40c8'),
    ('Connection', 'keep-alive, X-Own'),
    ('X-Own', 'of this connection'),
    ('Transfer-Encoding', 'chunked'),
    ('Cookie', 'X-Jackdawfield-Affinity-Key=17'),
]


class HeadersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.headers = decode_headers(PAIRS)

    def test_decodes_the_headers_of_a_turn(self) -> None:
        headers = self.headers
        self.assertEqual(headers.host, 'ficu95.example')
        self.assertEqual(headers.time_left_s, 4.0)
        self.assertEqual(headers.prompt_tokens, 1840)
        self.assertEqual(headers.max_tokens, 286)
        self.assertEqual(headers.budget_tokens, 2288)
        self.assertEqual(headers.previous_turn, '40c8')

    def test_key_and_forged_headers_are_not_forwarded(self) -> None:
        forwarded = ForwardedHeaders(
            ServerId('i-1'),
            OrganisationId('t'),
            1.5,
            self.headers.end_to_end_headers,
        )
        encoded = {k.lower(): v for k, v in encode_headers(forwarded)}
        self.assertNotIn('secret', encoded.values())
        self.assertNotIn('forged', encoded.values())
        self.assertNotIn('x-own', encoded)
        self.assertNotIn('transfer-encoding', encoded)
        self.assertNotIn('x-jackdawfield-pin-ms', encoded)
        self.assertNotIn('x-jackdawfield-kv-backup', encoded)
        self.assertEqual(encoded['x-jackdawfield-tenant'], 't')
        self.assertEqual(encoded['x-jackdawfield-expect-instance'], 'i-1')
        self.assertEqual(encoded['x-jackdawfield-deadline-ms'], '1500')
        self.assertEqual(encoded['x-jackdawfield-previous-turn'], '40c8')

    def test_call_without_organisation_has_no_tenant_header(self) -> None:
        forwarded = ForwardedHeaders(
            ServerId('i-1'), None, 1.5, self.headers.end_to_end_headers
        )
        names = [name.lower() for name, _ in encode_headers(forwarded)]
        self.assertNotIn('x-jackdawfield-tenant', names)

    def test_malformed_numbers_are_absent(self) -> None:
        headers = decode_headers(
            [
                ('X-Jackdawfield-Deadline-Ms', '4e3'),
                ('X-Jackdawfield-Token-Usage', 'x'),
            ]
        )
        self.assertIsNone(headers.time_left_s)
        self.assertEqual(headers.max_tokens, 0)
