"""How many requests independent senders may plan for where their sum must stay within a bound.

Processes share nothing, so what one server gets from all of them in a window is a sum of independent counts.
Each process sends at most one request a slot, and its first slot begins at a random phase of its own, so the
sum has a mean m and a variance of at most m. Bernstein's inequality, with steps of at most 1, gives

    P(sum >= m + d) <= exp(-d^2 / (2 * (m + d / 3)))

With m + d = bound and L = ln(1 / chance), the largest d that this asks for is the root of
d^2 + (4/3) L d - 2 L * bound = 0, and m = bound - d.
"""

from math import log, sqrt

SLACK_STEP_REQUESTS = 30  # requests: from here on the slack of a server in slow start is the smaller one


def planned_mean(bound: float, chance: float) -> float:
    """Return the largest mean of a sum of independent counts that passes a bound with that chance at most."""
    doubt = log(1 / chance)
    return bound + 2 / 3 * doubt - sqrt((2 / 3 * doubt) ** 2 + 2 * doubt * bound)


def planned_share(windows: float, chance: float) -> float:
    """Return the part of N that all processes together may plan for in a window of a slow start.

    N requests are allowed with a slack of 2 * sqrt(N) + 2 (3 * sqrt(N) + 3 for N under 30). No process knows
    N, as it sees only its own share of the traffic. So the part is that of the N which leaves the least
    room, 30, where the slack steps down. The chance is that of one slow start, shared out over its windows.
    """
    bound = SLACK_STEP_REQUESTS + 2 * sqrt(SLACK_STEP_REQUESTS) + 2
    return planned_mean(bound, min(0.5, chance / max(1.0, windows))) / SLACK_STEP_REQUESTS
