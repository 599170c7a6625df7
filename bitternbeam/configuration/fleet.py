"""The [fleet] section of a node's file, what in it cannot work, and its terms in microseconds."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from bitternbeam.configuration.faults import Fault
from bitternbeam.configuration.limits import LimitTable, limit_faults
from bitternbeam.configuration.returns import ReturnTable, return_faults
from bitternbeam.configuration.schema import Address, Entry, Text
from bitternbeam.configuration.tenants import BudgetTable, TenantTable, tenant_faults
from bitternbeam.configuration.verdicts import VerdictTable, verdict_faults
from bitternbeam.fleet.bounds import BoundSettings
from bitternbeam.fleet.lease import LeaseTimes, find_faults


class Fleet(Entry, frozen=True):
    """Work done once for the fleet, under leases on an engine: [fleet] (docs/fleet.md)."""

    engine: Annotated[Address, Meta(description="the Consul agent, host:port")] = ""
    token: Annotated[Text, Meta(description="X-Consul-Token, if the agent asks for one")] = ""
    name: Annotated[Text, Meta(description="this member's name; unique in the fleet")] = ""
    service: Annotated[Text, Meta(description="the service the members register as")] = "bitternbeam"
    prefix: Annotated[Text, Meta(description="KV folder of the leases")] = "bitternbeam/fleet"
    ttl_ms: Annotated[int, Meta(ge=1, description="session TTL")] = 10_000
    lock_delay_ms: Annotated[int, Meta(ge=0, description="the engine holds a lapsed lock back so long")] = (
        1_000
    )
    margin_ms: Annotated[int, Meta(ge=0, description="stop so long before the TTL")] = 2_000
    pause_ms: Annotated[int, Meta(ge=1, description="a gap in ticks longer than this is a pause")] = 1_000
    tick_ms: Annotated[int, Meta(ge=10, le=10_000, description="how often leases are looked at")] = 100
    probe_ms: Annotated[int, Meta(ge=10, le=600_000, description="between two probes of one booker")] = 500
    probes: Annotated[
        tuple[Annotated[str, Meta(pattern=r"^[^\s=]+=[^\s:]+:[0-9]{1,5}$")], ...],
        Meta(max_length=4096, description="bookers probed for the fleet, NAME=host:port"),
    ] = ()
    directory: Annotated[
        Text, Meta(description="service whose instances make the SIP side's pool view; none unless said")
    ] = ""
    transport: Annotated[Literal["udp", "tcp"], Meta(description="of instances that do not say")] = "udp"
    view_age_ms: Annotated[
        int, Meta(ge=100, le=3_600_000, description="a published record is believed for so long")
    ] = 30_000
    gone_ms: Annotated[
        int, Meta(ge=100, le=3_600_000, description="an instance left out drains, and is gone after")
    ] = 10_000
    recent_ms: Annotated[
        int, Meta(ge=1_000, le=86_400_000, description="shares assume the largest fleet seen within")
    ] = 600_000
    ramp_step_ms: Annotated[
        int, Meta(ge=100, le=600_000, description="a returning booker's share doubles after each")
    ] = 5_000
    bounds: Annotated[bool, Meta(description="bound sends by the fleet's shares and budgets")] = True
    period_ms: Annotated[
        int, Meta(ge=100, le=60_000, description="between two reports, and two moves of a limit")
    ] = 1_000
    retry_fraction: Annotated[
        float, Meta(ge=0, le=1, description="repeated attempts to first ones, over the window")
    ] = 0.1
    retry_window_ms: Annotated[int, Meta(ge=100, le=600_000, description="the window")] = 10_000
    retry_floor_per_s: Annotated[
        float,
        Meta(ge=0, le=10_000, description="repeated attempts of the whole fleet that are always allowed"),
    ] = 2.0
    accepts_factor: Annotated[
        float, Meta(ge=1, le=100, description="without shares: offers passed to answers got")
    ] = 2.0
    limit: Annotated[
        tuple[LimitTable, ...], Meta(max_length=256, description="limits that hold for the whole fleet")
    ] = ()
    returns: Annotated[
        ReturnTable | None, Meta(description="pacing of clients that come back at once; none unless said")
    ] = None
    verdicts: Annotated[
        VerdictTable | None, Meta(description="verdicts that all members hold alike; none unless said")
    ] = None
    tenant: Annotated[
        tuple[TenantTable, ...], Meta(max_length=1_000, description="tenants that share the bookers")
    ] = ()
    budget: Annotated[
        tuple[BudgetTable, ...], Meta(max_length=1_000, description="what each booker has for them")
    ] = ()
    budget_members: Annotated[
        int, Meta(ge=1, le=10_000, description="members; once all were heard a new owner knows all")
    ] = 64
    budget_lasts_ms: Annotated[
        int, Meta(ge=1, le=3_600_000, description="a member cut off goes by its part so long")
    ] = 20_000
    budget_hold_most_ms: Annotated[int, Meta(ge=1, description="no call lasts longer")] = 3_600_000


def fleet_faults(fleet: Fleet) -> list[Fault]:
    """Return what in a [fleet] section cannot work, each naming its key."""
    found = [Fault(f"fleet.{key}", what) for key, what in find_faults(lease_times(fleet))]
    if not fleet.engine:
        found.append(Fault("fleet.engine", "names no engine: give the Consul agent as host:port"))
    names = [one.partition("=")[0] for one in fleet.probes]
    for name in sorted({one for one in names if names.count(one) > 1}):
        found.append(Fault("fleet.probes", f"booker {name!r} stands there twice"))
    if "," in fleet.name or "@" in fleet.name or "/" in fleet.name:
        found.append(Fault("fleet.name", "may hold no comma, @ or /"))
    if not fleet.name:
        found.append(Fault("fleet.name", "no member name: give one that is unique in the fleet"))
    if fleet.budget and fleet.budget_lasts_ms <= 4 * fleet.period_ms:
        found.append(
            Fault("fleet.budget_lasts_ms", "must be above four periods, or each lost report ends it")
        )
    found += tenant_faults(fleet.tenant, fleet.budget, names)
    found += limit_faults(fleet.limit, fleet.period_ms, fleet.ttl_ms)
    found += verdict_faults(fleet.verdicts, fleet.limit, fleet.tenant, fleet.period_ms)
    return found + return_faults(fleet.returns, fleet.limit, fleet.period_ms)


def lease_times(fleet: Fleet) -> LeaseTimes:
    """Return the lease times of a [fleet] section, in microseconds."""
    return LeaseTimes(
        ttl_us=fleet.ttl_ms * 1000,
        lock_delay_us=fleet.lock_delay_ms * 1000,
        margin_us=fleet.margin_ms * 1000,
        pause_us=fleet.pause_ms * 1000,
        tick_us=fleet.tick_ms * 1000,
    )


def bound_terms(fleet: Fleet) -> BoundSettings:
    """Return what bounds sends in a [fleet] section."""
    return BoundSettings(
        period_us=fleet.period_ms * 1000,
        retry_fraction=fleet.retry_fraction,
        retry_window_us=fleet.retry_window_ms * 1000,
        retry_floor_per_s=fleet.retry_floor_per_s,
        accepts_factor=fleet.accepts_factor,
    )
