"""Start an instance on the users' platform."""

import os
from pathlib import Path
import sys

from result import Err

from jackdawfield.gateway.adapter import Adapter
from jackdawfield.gateway.process import run
from jackdawfield.gateway.servers.exchange import HeaderFormat
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.logs import configure_logs
from jackdawfield.platform.configuration import decode_configuration
from jackdawfield.platform.configuration import decode_server
from jackdawfield.platform.headers import decode_headers
from jackdawfield.platform.headers import decode_notices
from jackdawfield.platform.headers import encode_headers
from jackdawfield.platform.headers import NOT_RUN
from jackdawfield.platform.headers import REQUEST_ID
from jackdawfield.platform.headers import SERVER_STAMP
from jackdawfield.platform.settings import read_settings
from jackdawfield.platform.store import PlatformStore

SETTINGS_VARIABLE = 'JACKDAWFIELD_CONFIG'
EXIT_SETTINGS = 2
ADAPTER = Adapter(
    header_format=HeaderFormat(
        REQUEST_ID, NOT_RUN, SERVER_STAMP, encode_headers, decode_notices
    ),
    configuration_row=RowKey('op', '', 'config'),
    servers_table='servers',
    decode_headers=decode_headers,
    decode_configuration=decode_configuration,
    decode_server=decode_server,
    open_store=PlatformStore,
)


def main() -> int:
    """Run an instance from its settings file; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f'{SETTINGS_VARIABLE} is not set', file=sys.stderr)
        return EXIT_SETTINGS
    settings = read_settings(Path(path))
    if isinstance(settings, Err):
        print(settings.err_value, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs(settings.ok_value.instance_id, 'info')
    run(settings.ok_value, ADAPTER)
    return 0


if __name__ == '__main__':
    sys.exit(main())
