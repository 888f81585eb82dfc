"""Test which refused requests give a token back."""

from dataclasses import replace
import time
import unittest
from unittest import mock

from jackdawfield.decisions.buckets import Contract
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.rates.admission import Admission
from jackdawfield.gateway.rates.tokens import LocalTokens
from jackdawfield.gateway.rates.tokens import SPARE_TTL_S
from jackdawfield.model import OrganisationId
from tests.gateway.servers.test_dispatch import make_call

LIMITED = OrganisationId('limited')
UNLIMITED = OrganisationId('unlimited')


class ReturnedTokensTest(unittest.TestCase):
    def returned(self, call: Call) -> int:
        """Return how many tokens a refused call gives back."""
        owner = mock.Mock(
            contracts_by_organisation={LIMITED: Contract(20.0, 20)}
        )
        admission = Admission(mock.Mock(), mock.Mock(), mock.Mock(), owner)
        added: list[int] = []

        def add_spare(tokens: int, granted_at_s: float, now_s: float) -> None:
            if granted_at_s + SPARE_TTL_S > now_s:
                added.append(tokens)

        local_tokens = mock.Mock(spec=LocalTokens, add_spare=add_spare)
        account = mock.Mock(local_tokens=local_tokens)
        admission._accounts_by_id = {LIMITED: account, UNLIMITED: account}
        admission.return_token(call)
        return sum(added)

    # Guards against refused requests that leave tokens behind which they
    # have not taken.
    def test_only_a_request_that_took_a_token_returns_one(self) -> None:
        call = make_call(CallKind.STREAM)
        limited = replace(
            call, organisation_id=LIMITED, arrived_at_s=time.monotonic()
        )
        self.assertEqual(self.returned(limited), 1)
        unlimited = replace(limited, organisation_id=UNLIMITED)
        self.assertEqual(self.returned(unlimited), 0)
        keyless = replace(limited, organisation_id=None)
        self.assertEqual(self.returned(keyless), 0)
        is_open = replace(limited, route=replace(call.route, is_open=True))
        self.assertEqual(self.returned(is_open), 0)

    def test_a_request_that_waited_long_returns_none(self) -> None:
        arrived_at_s = time.monotonic() - 2 * SPARE_TTL_S
        call = replace(
            make_call(CallKind.STREAM),
            organisation_id=LIMITED,
            arrived_at_s=arrived_at_s,
        )
        self.assertEqual(self.returned(call), 0)
