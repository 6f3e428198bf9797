"""Write results as a self-contained HTML page with plots.

The plots need matplotlib, from the optional extra `report`; without it
the page has tables only.
"""

import base64
import html
import io
import json
import logging
import pathlib
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from chicorybridge.load.recorders import MICROS_PER_MILLI
from chicorybridge.load.results import compare

logger = logging.getLogger(__name__)

FIGURE_INCHES = (9, 4)
MAX_PERCENTILE = 99.99
PLOTTED_PERCENTILES = (
    1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, MAX_PERCENTILE,
)  # fmt: skip
TICK_PERCENTILES = (50, 90, 99, 99.9, MAX_PERCENTILE)

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title><style>
body {{ font-family: sans-serif; margin: 2em auto; max-width: 60em }}
table {{ border-collapse: collapse; margin: 1em 0 }}
td, th {{ border: 1px solid #999; padding: 0.2em 0.7em; text-align: right }}
pre {{ background: #eee; padding: 1em; overflow: auto }}
</style></head><body><h1>{title}</h1>{content}</body></html>
"""


def write_report(
    result: dict[str, Any],
    earlier: dict[str, Any] | None,
    *,
    path: pathlib.Path,
) -> None:
    """Write the page of a result, compared with an earlier one if given."""
    path.write_text(make_report(result, earlier), encoding='utf-8')


def make_report(result: dict[str, Any], earlier: dict[str, Any] | None) -> str:
    """Return the HTML page of a result."""
    figures = [
        (item.group, item.figure, item.before, item.after)
        for item in compare(result, earlier)
    ]
    outcomes = [
        (name, outcome, count)
        for name, group in result['groups'].items()
        for outcome, count in group['outcomes'].items()
    ]
    parts = [
        _table(('group', 'figure', 'before', 'after'), figures),
        _table(('group', 'outcome', 'requests'), outcomes),
        _table(('promise check', 'value'), result['verdict'].items()),
        *_plots(result, earlier),
        *(
            _json_section(name, result[name])
            for name in ('faults', 'machine', 'settings')
        ),
    ]
    title = '{name}, seed {seed}'.format(**result)
    return PAGE.format(title=html.escape(title), content=''.join(parts))


def _plots(
    result: dict[str, Any], earlier: dict[str, Any] | None
) -> Iterable[str]:
    try:
        from matplotlib import figure  # noqa: PLC0415, WPS433
    except ImportError:
        logger.warning('the report has no plots: install the extra "report"')
        return
    percentiles = figure.Figure(figsize=FIGURE_INCHES)
    _plot_percentiles(percentiles.subplots(), result, earlier)
    yield _image(percentiles)
    time_line = figure.Figure(figsize=FIGURE_INCHES)
    _plot_time_line(time_line.subplots(), result)
    yield _image(time_line)


def _plot_percentiles(
    axes: Any, result: dict[str, Any], earlier: dict[str, Any] | None
) -> None:
    results = [(result, '', '-')]
    if earlier:
        results.append((earlier, ' (earlier)', ':'))
    for document, suffix, style in results:
        for name, group in document['groups'].items():
            histogram = HdrHistogram.decode(group['histogram'])
            axes.plot(
                [100 / (100 - point) for point in PLOTTED_PERCENTILES],
                [
                    histogram.get_value_at_percentile(point) / MICROS_PER_MILLI
                    for point in PLOTTED_PERCENTILES
                ],
                style,
                label=name + suffix,
            )
    axes.set_xscale('log')
    axes.set_yscale('log')
    axes.set_xticks(
        [100 / (100 - point) for point in TICK_PERCENTILES],
        [str(point) for point in TICK_PERCENTILES],
    )
    axes.set(xlabel='percentile', ylabel='latency, ms')
    axes.legend()


def _plot_time_line(axes: Any, result: dict[str, Any]) -> None:
    for name, group in result['groups'].items():
        seconds = sorted(group['seconds'].items(), key=_second_number)
        axes.plot(
            [int(number) for number, _ in seconds],
            [second['p99_ms'] for _, second in seconds],
            label=name,
        )
    for fault in result['faults']:
        axes.axvline(fault['at_ms'] / 1000, color='grey', linestyle=':')
    axes.set_yscale('log')
    axes.set(xlabel='second of the run', ylabel='p99 of the second, ms')
    axes.legend()


def _second_number(pair: tuple[str, Any]) -> int:
    return int(pair[0])


def _image(figure: Any) -> str:
    stream = io.BytesIO()
    figure.savefig(stream, format='svg', bbox_inches='tight')
    encoded = base64.b64encode(stream.getvalue()).decode()
    return f'<p><img alt="plot" src="data:image/svg+xml;base64,{encoded}"></p>'


def _table(head: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    lines = [_table_row('th', head)]
    lines.extend(_table_row('td', row) for row in rows)
    return _element('table', ''.join(lines))


def _table_row(tag: str, cells: Iterable[Any]) -> str:
    elements = (_element(tag, html.escape(_cell_text(cell))) for cell in cells)
    return _element('tr', ''.join(elements))


def _cell_text(cell: Any) -> str:
    if cell is None:
        return ''
    return f'{cell:.3f}' if isinstance(cell, float) else str(cell)


def _element(tag: str, content: str) -> str:
    return f'<{tag}>{content}</{tag}>'


def _json_section(name: str, document: Any) -> str:
    escaped = html.escape(json.dumps(document, indent=1))
    return f'<h2>{html.escape(name)}</h2><pre>{escaped}</pre>'
