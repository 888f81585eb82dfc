"""Render a report on the burn of error budgets as an HTML page."""

from base64 import b64encode
from datetime import datetime
from datetime import UTC
from html import escape
from io import BytesIO

from jackdawfield.burn import BurnLine
from jackdawfield.burn import BurnReport

STYLE = (
    'table{border-collapse:collapse}td,th{padding:2px 8px;border:1px solid}'
)
PLOT_SIZE_INCHES = (9.0, 4.0)


def list_columns(report: BurnReport) -> tuple[str, ...]:
    """Return the column names; each window has a burn rate in its own."""
    window_columns: tuple[str, ...] = ()
    if report.lines:
        window_columns = tuple(
            f'burn_{window.window_s / 60:g}m'
            for window in report.lines[0].windows
        )
    return (
        'objective',
        'organisation',
        'route',
        'target',
        'events',
        'bad',
        'budget_left',
        *window_columns,
        'alerts',
    )


def build_row(line: BurnLine) -> tuple[object, ...]:
    """Return the cells of a line in the order of list_columns."""
    return (
        line.objective,
        line.organisation_id,
        line.route,
        line.target,
        line.events,
        line.bad,
        round(line.budget_left, 3),
        *(round(window.burn, 2) for window in line.windows),
        ' '.join(severity.value for severity in line.alerts),
    )


def render_plot(report: BurnReport) -> bytes:
    """Return a PNG of each objective's burn rate, by end of metrics slot."""
    # Imported here, so that only a plot loads the library.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_SIZE_INCHES)
    # Sets itself as the figure's canvas, which needs no display.
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    for name, burns_by_end_s in report.burns_by_objective.items():
        hours = [
            (end_s - report.taken_at_s) / 3600 for end_s in burns_by_end_s
        ]
        axes.plot(hours, list(burns_by_end_s.values()), marker='.', label=name)
    # At a rate of 1, the budget is spent exactly as the target allows.
    axes.axhline(1.0, color='grey', linestyle='--')
    axes.set_xlabel('hours relative to the report')
    axes.set_ylabel('burn rate')
    if report.burns_by_objective:
        axes.legend()
    data = BytesIO()
    figure.savefig(data, format='png')
    return data.getvalue()


def render_page(report: BurnReport) -> str:
    """Return the report as one HTML page with an inline plot."""
    taken_at = datetime.fromtimestamp(report.taken_at_s, UTC)
    head = ''.join(f'<th>{escape(name)}</th>' for name in list_columns(report))
    body = ''.join(_render_row(line) for line in report.lines)
    encoded_plot = b64encode(render_plot(report)).decode()
    instances = escape(', '.join(report.instances))
    return (
        '<!DOCTYPE html><html><head><meta charset="utf-8">'
        f'<title>Service-level burn</title><style>{STYLE}</style></head>'
        f'<body><h1>Service-level burn</h1><p>{taken_at:%Y-%m-%d %H:%M} UTC, '
        f'instances: {instances}</p>'
        f'<img alt="burn rates" src="data:image/png;base64,{encoded_plot}">'
        f'<table><tr>{head}</tr>{body}</table></body></html>'
    )


def _render_row(line: BurnLine) -> str:
    cells = ''.join(
        f'<td>{escape(str(cell))}</td>' for cell in build_row(line)
    )
    return f'<tr>{cells}</tr>'
