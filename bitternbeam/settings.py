"""The operators' settings, read in one place for the daemon and the simulator's adapter."""

from __future__ import annotations

from typing import Any

from bitternbeam.decision import interface as api
from bitternbeam.fields import FieldError, Fields, parse

EFFECTS = {"repeatable": api.Effect.REPEATABLE, "by_key": api.Effect.BY_KEY, "once": api.Effect.ONCE}
REPORT_FIELDS = {
    "depth": "queue_length",
    "mean_ms": "wait_ms",
    "load_share": "utilization",
    "can_take": "capacity_per_s",
    "hold_back": "shed_share",
    "free": "free_lines",
    "size": "total_lines",
}


class InputError(Exception):
    """Input that cannot be read."""


def read_settings(text: str | dict[str, Any]) -> api.Settings:
    """Turn the wire's settings into the project's; what is not used is ignored. Raises WireError."""
    try:
        raw = parse(text) if isinstance(text, str) else text
    except ValueError as error:
        raise InputError(f"settings are not JSON: {error}") from None
    try:
        return _settings(Fields(raw))
    except FieldError as error:
        raise InputError(f"settings: {error}") from None
    except ValueError as error:
        raise InputError(str(error)) from None


def _settings(top: Fields) -> api.Settings:
    domain, safety, limits = top.nested("domain"), top.nested("safety"), top.nested("limits")
    here = domain.integer("here", minimum=-1)
    away_us = limits.integer("max_retry_after_us", minimum=0) if limits.boolean("retry_after", False) else 0
    return api.Settings(
        gateways=top.integer("balancers", above=0),
        classes=_classes(top, domain),
        tenants=_tenants(top),
        over_share_worth=top.number("over_share_worth", 1.0, minimum=0, maximum=1),
        max_attempts=limits.integer("max_attempts", above=0),
        may_probe=limits.boolean("may_probe"),
        may_cancel=limits.boolean("cancel"),
        must_subscribe=top.text("registry_mode") == "subscribe",
        release_wait_us=domain.integer("clear_wait_us", minimum=0),
        resend_us=domain.integer("resend_us", 0, minimum=0),
        tells_wait=domain.boolean("says_wait", False),
        own_cell=None if here < 0 else here,
        cold_from=safety.number("cold_from", above=0, maximum=1),
        warm_after_us=safety.integer("warm_after_us", minimum=0),
        fall_multiple=safety.number("fall_multiple", above=0),
        fall_us=safety.integer("fall_us", above=0),
        max_stay_away_us=away_us,
    )


def _classes(top: Fields, domain: Fields) -> tuple[api.CallClass, ...]:
    items = top.objects("request_classes")
    pools = domain.text("shape") == "pools" and domain.raw.get("class_cells")
    cells = _cells(domain, len(items)) if pools else [None] * len(items)
    if not items:
        raise FieldError("'request_classes' must hold at least one class")
    classes = tuple(_class(item, cells[index]) for index, item in enumerate(items))
    _check_names("request_classes", [one.name for one in classes])
    return classes


def _class(item: Fields, cells: tuple[int, ...] | None) -> api.CallClass:
    effect = item.text("idempotency")
    if effect not in EFFECTS:
        raise FieldError(f"'{item.full_key('idempotency')}' must be one of {', '.join(EFFECTS)}")
    return api.CallClass(
        name=item.text("name"),
        aim_us=item.integer("aim_us", above=0),
        deadline_us=item.integer("hard_limit_us", above=0),
        worth=item.number("worth", minimum=0),
        late_worth=item.number("late_value", 0.0, minimum=0, maximum=1),
        effect=EFFECTS[effect],
        cells=cells,
    )


def _cells(domain: Fields, classes: int) -> list[tuple[int, ...] | None]:
    """Return the cells that each class may go to."""
    rows = domain.array("class_cells")
    if len(rows) < classes:
        raise FieldError(f"'{domain.full_key('class_cells')}' must hold one array for each class")
    for index, row in enumerate(rows):
        if not isinstance(row, list) or not all(type(cell) is int and cell >= 0 for cell in row):
            key = f"{domain.full_key('class_cells')}[{index}]"
            raise FieldError(f"'{key}' has the wrong form: not an array of cells")
    return [tuple(row) for row in rows]


def _tenants(top: Fields) -> tuple[api.Tenant, ...]:
    tenants = tuple(
        api.Tenant(item.text("name"), item.number("quota_per_s", minimum=0))
        for item in top.objects("tenants", [])
    )
    _check_names("tenants", [one.name for one in tenants])
    return tenants


def _check_names(key: str, names: list[str]) -> None:
    for index, name in enumerate(names):
        if not name:
            raise FieldError(f"'{key}[{index}].name' must not be empty")
        if name in names[:index]:
            raise FieldError(f"'{key}[{index}].name': {name!r} is there twice")
