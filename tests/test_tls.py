"""Test that real daemons serve callers and peers over TLS."""

from datetime import datetime
from datetime import timedelta
from datetime import UTC
from ipaddress import ip_address
from pathlib import Path
import ssl
import unittest
import urllib.request

from cryptography.hazmat.primitives.asymmetric.ec import generate_private_key
from cryptography.hazmat.primitives.asymmetric.ec import SECP256R1
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.hazmat.primitives.serialization import NoEncryption
from cryptography.hazmat.primitives.serialization import PrivateFormat
from cryptography.x509 import BasicConstraints
from cryptography.x509 import CertificateBuilder
from cryptography.x509 import IPAddress
from cryptography.x509 import Name
from cryptography.x509 import NameAttribute
from cryptography.x509 import NameOID
from cryptography.x509 import random_serial_number
from cryptography.x509 import SubjectAlternativeName

from tests.fleet import Fleet
from tests.fleet import key
from tests.fleet import TEMPLATE


def write_certificate(directory: Path) -> dict[str, str]:
    private_key = generate_private_key(SECP256R1())
    name = Name([NameAttribute(NameOID.COMMON_NAME, 'test')])
    now = datetime.now(UTC)
    certificate = (
        CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(private_key.public_key())
        .serial_number(random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(
            SubjectAlternativeName([IPAddress(ip_address('127.0.0.1'))]),
            critical=False,
        )
        .add_extension(BasicConstraints(True, None), critical=True)
        .sign(private_key, SHA256())
    )
    key_path = directory / 'key.pem'
    certificate_path = directory / 'certificate.pem'
    key_path.write_bytes(
        private_key.private_bytes(
            Encoding.PEM,
            PrivateFormat.PKCS8,
            NoEncryption(),
        )
    )
    certificate_path.write_bytes(certificate.public_bytes(Encoding.PEM))
    return {
        'certificate_file': str(certificate_path),
        'private_key_file': str(key_path),
        'authority_file': str(certificate_path),
    }


class TlsTest(unittest.TestCase):
    def test_callers_and_peers_are_served_over_tls(self) -> None:
        fleet = Fleet(daemons_per_domain=2, tls=write_certificate)
        self.addCleanup(fleet.close)
        context = ssl.create_default_context(
            cafile=str(fleet.directory / 'certificate.pem')
        )
        for daemon in fleet.daemons_by_name.values():
            url = daemon.caller_url.replace('http://', 'https://')
            for _ in range(4):
                request = urllib.request.Request(
                    f'{url}/v1/programs',
                    data=f'{{"template": "{TEMPLATE}"}}'.encode(),
                    headers={'Authorization': f'Bearer {key("sieves")}'},
                )
                with urllib.request.urlopen(
                    request, context=context
                ) as answer:
                    self.assertEqual(200, answer.status)
