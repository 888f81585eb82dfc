"""Define what a platform gives an instance of the gateway."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from result import Result

from jackdawfield.gateway.calls import CallHeaders
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.exchange import HeaderFormat
from jackdawfield.gateway.storage.path import StorePath
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowStore


@dataclass(frozen=True, slots=True)
class Adapter:
    """Holds a platform's wire formats, table names and store client."""

    header_format: HeaderFormat
    configuration_row: RowKey
    servers_table: str
    decode_headers: Callable[[Iterable[tuple[str, str]]], CallHeaders]
    decode_configuration: Callable[
        [bytes], Result[FleetConfiguration, Exception]
    ]
    decode_server: Callable[[str, bytes], Result[ServerEntry, Exception]]
    open_store: Callable[[StorePath], RowStore]
