"""List, issue and revoke the API keys of organisations."""

from hashlib import sha256
import secrets

from result import Result

from jackdawfield.commands.base import Argument
from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import Output
from jackdawfield.commands.changes import CHANGE_ARGUMENTS
from jackdawfield.commands.changes import read_configuration
from jackdawfield.commands.changes import submit
from jackdawfield.commands.client import CommandError
from jackdawfield.decisions.changes import GiveKey
from jackdawfield.decisions.changes import WithdrawKey
from jackdawfield.model import KeyId
from jackdawfield.model import OrganisationId

KEY_ID_BYTES = 8
SECRET_BYTES = 32


class ListKeys(Command):
    """Lists the keys by id, without their secrets."""

    name = 'list'
    summary = 'list the keys, without their secrets'
    arguments = (
        Argument('--organisation', 'list only keys of this organisation'),
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each key."""
        organisation = context.options.organisation
        return read_configuration(context).map(
            lambda value: Output(
                ('key', 'organisation', 'withdrawn'),
                tuple(
                    (name, item['organisation_id'], item['withdrawn'])
                    for name, item in sorted(value['keys_by_id'].items())
                    if organisation in (None, item['organisation_id'])
                ),
            )
        )


class GiveKeyCommand(Command):
    """Issues a new key to an organisation."""

    name = 'give'
    summary = 'give an organisation a new key and show it once'
    arguments = (
        Argument('organisation', 'id of the organisation'),
        *CHANGE_ARGUMENTS,
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Submit the digest of a new secret and return the key.

        Only the digest is stored, so the key cannot be shown again.
        """
        key_id = KeyId(secrets.token_hex(KEY_ID_BYTES))
        secret = secrets.token_hex(SECRET_BYTES)
        change = GiveKey(
            key_id,
            OrganisationId(context.options.organisation),
            sha256(secret.encode()).hexdigest(),
        )
        key = f'jf_{key_id}_{secret}'
        return submit(context, 'GiveKey', change).map(
            lambda output: Output(
                ('key id', 'key, shown this once', *output.columns),
                ((key_id, key, *output.rows[0]),),
                output.exit_code,
            )
        )


class WithdrawKeyCommand(Command):
    """Revokes a key."""

    name = 'withdraw'
    summary = 'withdraw a key permanently'
    arguments = (Argument('key', 'id of the key'), *CHANGE_ARGUMENTS)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Submit the revocation."""
        change = WithdrawKey(KeyId(context.options.key))
        return submit(context, 'WithdrawKey', change)
