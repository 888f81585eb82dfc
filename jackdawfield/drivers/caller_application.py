"""Map the paths of callers' requests to handlers."""

import tornado.web

from jackdawfield.drivers.caller_programs import ProgramHandler
from jackdawfield.drivers.caller_programs import ProgramsHandler
from jackdawfield.drivers.caller_routes import ChatHandler
from jackdawfield.drivers.caller_routes import ServiceHandler
from jackdawfield.drivers.callers import CallerContext


def caller_application(entry: CallerContext) -> tornado.web.Application:
    """Return the application that serves callers."""
    arguments = {'entry': entry}
    return tornado.web.Application(
        [
            ('/v1/programs', ProgramsHandler, arguments),
            (r'/v1/programs/([a-z0-9.-]+)', ProgramHandler, arguments),
            ('/v1/chat/completions', ChatHandler, arguments),
            ('/v1/services/([a-z0-9-]+)', ServiceHandler, arguments),
        ]
    )
