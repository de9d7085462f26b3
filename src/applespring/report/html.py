"""The report as one HTML page without external resources."""

import base64
from collections.abc import Sequence
from html import escape

from applespring.report.plot import plot_attainment, plot_burn, plot_cost
from applespring.report.summary import Summary
from applespring.report.text import build_tables, describe_data

STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 64em; }
table { border-collapse: collapse; margin-bottom: 1em; }
th, td { padding: .25em .8em; border-bottom: 1px solid #ccc; text-align: left; }
td:nth-child(n+2) { font-variant-numeric: tabular-nums; }
.note { background: #fff3d6; padding: .3em .8em; margin: .3em 0; }
img { max-width: 100%; }
"""


def format_html(summary: Summary) -> str:
    """Returns the text of the page."""
    parts = [f"<p>{escape(describe_data(summary))}</p>"]
    parts += [f'<p class="note">{escape(note)}</p>' for note in summary.notes]
    plots_by_title = {
        "Service level by pipeline": [plot_attainment, plot_burn],
        "Cost by stage": [plot_cost],
    }
    for title, headings, rows in build_tables(summary):
        parts.append(f"<h2>{escape(title)}</h2>")
        parts.append(_format_table(headings, rows))
        for plot in plots_by_title.get(title, []):
            parts.append(_embed(plot(summary), title))
    body = "\n".join(parts)
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        f"<title>applespring report</title>\n<style>{STYLE}</style>\n</head>\n"
        f"<body>\n<h1>Service level report</h1>\n{body}\n</body>\n</html>\n"
    )


def _embed(svg: str, title: str) -> str:
    data = base64.b64encode(svg.encode()).decode()
    return f'<img alt="{escape(title)}" src="data:image/svg+xml;base64,{data}">'


def _format_table(headings: Sequence[str], rows: Sequence[list[str]]) -> str:
    if not rows:
        return "<p>none</p>"
    head = "".join(f"<th>{escape(heading)}</th>" for heading in headings)
    lines = [f"<table>\n<tr>{head}</tr>"]
    for row in rows:
        cells = "".join(f"<td>{escape(cell)}</td>" for cell in row)
        lines.append(f"<tr>{cells}</tr>")
    return "\n".join([*lines, "</table>"])
