"""Options that several commands take."""

from __future__ import annotations

import click

AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON, one value a line.")
