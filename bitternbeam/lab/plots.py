"""Plots of the laboratory's runs."""

from __future__ import annotations

from pathlib import Path

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot as plt

from bitternbeam.lab.judging import Act, Held
from bitternbeam.lab.loads import Loads, Marks, Series

COLOURS = plt.get_cmap("tab20")


def ownership(path: Path, held: list[Held], acts: list[Act], faults: list[tuple[int, str, str]]) -> None:
    """Draw who held which work, the acts that were refused, and the faults."""
    works = sorted({one.work for one in held})
    holders = sorted({one.holder for one in held})
    start = min(one.from_us for one in held)
    end = max([*(one.at_us for one in acts), *(one.from_us for one in held)])
    figure, axes = plt.subplots(figsize=(14, 1.5 + 0.4 * len(works)))
    for one in held:
        until = end if one.to_us is None else one.to_us
        axes.barh(
            works.index(one.work), (until - one.from_us) / 1e6, left=(one.from_us - start) / 1e6,
            color=COLOURS(holders.index(one.holder) % 20), height=0.8,
        )  # fmt: skip
    refused = [one for one in acts if not one.accepted and one.work in works]
    axes.plot(
        [(one.at_us - start) / 1e6 for one in refused], [works.index(one.work) for one in refused], "kx",
        label=f"refused acts ({len(refused)})",
    )  # fmt: skip
    for at_us, what, _whom in faults:
        style = {"kill": "r-", "pause": "b-", "resume": "b:"}.get(what, "k:")
        axes.axvline((at_us - start) / 1e6, color=style[0], linestyle=style[1:], linewidth=0.6)
    for number, holder in enumerate(holders):
        axes.barh(0, 0, color=COLOURS(number % 20), label=holder)
    axes.set_yticks(range(len(works)), works)
    axes.set_xlabel("seconds; red: kill, blue: pause and resume")
    axes.legend(loc="upper center", bbox_to_anchor=(0.5, -0.25), ncol=8, fontsize=7)
    figure.savefig(path, bbox_inches="tight", dpi=110)
    plt.close(figure)


def loads_drawn(path: Path, runs: dict[str, tuple[Loads, Marks]], capacity: float) -> None:
    """Draw offered load, load at the bookers, goodput and retries over time, a panel a run."""
    figure, panels = plt.subplots(len(runs), 1, figsize=(13, 4.2 * len(runs)), sharex=True, squeeze=False)
    for axes, (name, (loads, marks)) in zip(panels[:, 0], runs.items(), strict=True):
        start, end = marks.at["before"], marks.at["end"]
        times = range(start, end - 1_000_000, 250_000)
        seconds = [(at - start) / 1e6 for at in times]

        def drawn(label: str, every: list[Series], colour: str) -> None:
            rates = [sum(one.rate(at, at + 1_000_000) for one in every) / capacity for at in times]  # noqa: B023
            axes.plot(seconds, rates, label=label, color=colour, linewidth=1.2)  # noqa: B023

        drawn("offered (again included)", [loads.of("call"), loads.of("again")], "0.7")
        drawn("set-ups at the bookers", list(loads.arrived.values()), "tab:orange")
        drawn("answered in time", [loads.of("ok")], "tab:green")
        drawn("repeated attempts", [loads.retried], "tab:red")
        for part, at in marks.at.items():
            axes.axvline((at - start) / 1e6, color="k", linewidth=0.4)
            axes.text((at - start) / 1e6, 2.95, f" {part}", fontsize=7, va="top")
        axes.axhline(1.0, color="k", linestyle=":", linewidth=0.8)
        axes.set(ylim=(0, 3.0), ylabel="parts of the capacity", title=f"sharing {name}")
        axes.legend(loc="center right", fontsize=8)
    panels[-1, 0].set_xlabel("seconds")
    figure.savefig(path, bbox_inches="tight", dpi=110)
    plt.close(figure)
