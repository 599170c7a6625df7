"""The mix of calls that arrive: each one's group, and the groups' shares of every budget by worth."""

import bitternbeam.decision.interface as api
from bitternbeam.decision.estimates import COUNT_DECAY
from bitternbeam.decision.state import Group, InstanceState


def count_arrival(instance: InstanceState, event: api.NewCall, kind: api.CallClass) -> tuple[Group, int]:
    """Count a call; returns its group and when its aim ends."""
    now, number = instance.now_us, event.number or event.call
    if event.again:
        instance.first_try_times_us.pop(number, None)
    # The aim runs from the caller's first try. Redials carry no mark at some sites, but call the number
    # again; one past its aim goes with the calls that earn little, as does one whose first is not known.
    known = number in instance.first_try_times_us
    aim_us = instance.first_try_times_us.setdefault(number, now) + kind.aim_us
    late = aim_us <= now or (event.redial and not known)
    group = (kind.name, within_tenant_share(instance, event.tenant) and not late)
    instance.group_counts[group] += 1
    instance.arrived_calls += 1
    return group, now + (event.left_us if late else min(aim_us - now, event.left_us))


def within_tenant_share(instance: InstanceState, tenant: str | None) -> bool:
    """Tell whether a tenant's call is within its share, by this gateway's own mix of traffic."""
    seen, quotas = instance.tenant_counts, instance.tenant_quotas
    if tenant not in seen:
        return True
    seen[tenant] += 1
    fair = quotas[tenant] / (sum(quotas.values()) or 1) * sum(seen.values())
    credit = min(2.0, instance.tenant_credit[tenant] + fair / seen[tenant])
    instance.tenant_credit[tenant] = credit - (credit >= 1)
    return credit >= 1


def update_group_shares(instance: InstanceState) -> None:
    """Set each group's share of the budgets in the next interval; what was counted so far fades."""
    now, seen, tries = instance.now_us, instance.group_counts, instance.first_try_times_us
    instance.first_try_times_us = {
        n: at for n, at in tries.items() if now - at < instance.longest_deadline_us
    }
    instance.tenant_counts = {name: count * COUNT_DECAY for name, count in instance.tenant_counts.items()}
    instance.observed_intervals = instance.observed_intervals * COUNT_DECAY + 1
    instance.answered_calls, instance.arrived_calls = (
        instance.answered_calls * COUNT_DECAY,
        instance.arrived_calls * COUNT_DECAY,
    )
    instance.even_demand = sum(seen.values()) / instance.observed_intervals / max(1, len(instance.switches))
    worth = {True: 1.0, False: instance.settings.over_share_worth}
    weights = {
        group: n * instance.classes_by_name[group[0]].worth * worth[group[1]] for group, n in seen.items()
    }
    instance.group_shares = {group: weight / sum(weights.values()) for group, weight in weights.items()}
    instance.group_counts = {group: max(1.0, count * COUNT_DECAY) for group, count in seen.items()}
