"""The mean that independent senders may plan for so that their sum stays within a bound.

Processes share nothing, so what one server gets from all of them in a window is a sum of independent counts.
Each process sends at most one request a slot, and its first slot begins at a random phase of its own, so the
sum has a mean m and a variance of at most m. Bernstein's inequality, with steps of at most 1, gives

    P(sum >= m + d) <= exp(-d^2 / (2 * (m + d / 3)))

With m + d = bound and L = ln(1 / chance), the largest d that this asks for is the root of
d^2 + (4/3) L d - 2 L * bound = 0, and m = bound - d.
"""

from math import log, sqrt

SLACK_STEP_REQUESTS = 30  # from this budget on the slack allowed in slow start is the smaller one


def planned_mean(bound: float, chance: float) -> float:
    """Return the largest mean whose sum of independent counts exceeds bound with at most this chance."""
    doubt = log(1 / chance)
    return bound + 2 / 3 * doubt - sqrt((2 / 3 * doubt) ** 2 + 2 * doubt * bound)


def planned_share(windows: float, chance: float) -> float:
    """Return the share of N that all processes together may plan for in a window of a slow start.

    N requests are allowed with a slack of 2 * sqrt(N) + 2 (3 * sqrt(N) + 3 for N under 30). No process knows
    N, as it sees only its own share of the traffic, so the share for the least favourable N is used: 30,
    where the slack steps down. The chance holds for one whole slow start and is divided over its windows.
    """
    bound = SLACK_STEP_REQUESTS + 2 * sqrt(SLACK_STEP_REQUESTS) + 2
    return planned_mean(bound, min(0.5, chance / max(1.0, windows))) / SLACK_STEP_REQUESTS
