"""A maximum flow from nodes (tenants or groups of them) to bookers, kept from one change to the next.

Augmenting paths by breadth-first search (Edmonds and Karp 1972) over bit masks of bookers: an arc from a
node to a booker has no bound, so that a search looks only at bookers not yet reached and, behind each, at
the nodes that send to it. Since flows are kept (warm start), a change of a few amounts costs a few paths.

`work` counts the arcs looked at; `push` hands over after each path, so that its user may pause (slices).
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from bitternbeam.fleet.budgets.network import bits


class Flow:
    """Whole amounts from nodes to bookers, never over what a booker has."""

    def __init__(self, allowed: Sequence[int], capacity: Sequence[int]) -> None:
        self.allowed = list(allowed)
        self.room = list(capacity)
        self.open = sum(1 << at for at, room in enumerate(capacity) if room > 0)
        self.sent: list[dict[int, int]] = [{} for _ in allowed]
        self.total = [0] * len(self.allowed)
        self.users: list[dict[int, None]] = [{} for _ in capacity]  # nodes that send to a booker, in order
        self.reached: set[int] = set()  # after a push that fell short: the nodes behind the same bottleneck
        self.closed = 0  # and their bookers, all full
        self.work = 0

    def _move(self, node: int, booker: int, amount: int) -> None:
        sent = self.sent[node]
        now = sent.get(booker, 0) + amount
        if now:
            sent[booker] = now
            self.users[booker][node] = None
        else:
            del sent[booker]
            del self.users[booker][node]

    def put(self, node: int, booker: int, amount: int) -> int:
        """Send up to `amount` straight to one booker, as far as it has room; returns what was sent."""
        amount = min(amount, self.room[booker])
        if amount > 0:
            self._move(node, booker, amount)
            self.total[node] += amount
            self._take(booker, amount)
        return max(0, amount)

    def _take(self, booker: int, amount: int) -> None:
        self.room[booker] -= amount
        if self.room[booker] > 0:
            self.open |= 1 << booker
        else:
            self.open &= ~(1 << booker)

    def trim(self, node: int, amount: int) -> None:
        """Take back from a node until it sends no more than `amount`."""
        over = self.total[node] - amount
        for booker in list(self.sent[node]):
            if over <= 0:
                return
            back = min(over, self.sent[node][booker])
            self._move(node, booker, -back)
            self.total[node] -= back
            self._take(booker, -back)
            over -= back

    def push(self, node: int, amount: int, within: int = -1) -> Iterator[int]:
        """Send `amount` more from a node through bookers of `within`; yields what each path took.

        A push that falls short leaves the bottleneck in `reached` and `closed`: whoever is in there can
        send no more, whatever the others do (the source side of a minimum cut).
        """
        while amount > 0:
            end, via, behind = self._search(node, within)
            if end < 0:
                return
            took = min(amount, self.room[end])
            booker = end
            while (sender := via[booker]) != node:
                booker = behind[sender]
                took = min(took, self.sent[sender][booker])
            self._take(end, took)
            booker = end
            while True:
                sender = via[booker]
                self._move(sender, booker, took)
                if sender == node:
                    break
                booker = behind[sender]
                self._move(sender, booker, -took)
            self.total[node] += took
            amount -= took
            yield took

    def _search(self, node: int, within: int) -> tuple[int, dict[int, int], dict[int, int]]:
        """Find the nearest booker with room: its number (or -1), who led to each booker and to each node."""
        within &= ~self.closed
        allowed, users = self.allowed, self.users
        via: dict[int, int] = {}
        behind: dict[int, int] = {node: -1}
        queue = [node]
        seen = 0
        for at in queue:
            new = allowed[at] & within & ~seen
            hit = new & self.open
            if hit:
                end = (hit & -hit).bit_length() - 1
                via[end] = at
                self.work += len(via) + len(queue)
                return end, via, behind
            seen |= new
            for booker in bits(new):
                via[booker] = at
                self.work += len(users[booker])
                for other in users[booker]:
                    if other not in behind:
                        behind[other] = booker
                        queue.append(other)
        self.work += len(via) + len(queue)
        self.reached.update(queue)
        self.closed |= seen
        return -1, via, behind

    def reopen(self) -> None:
        """Forget the bottleneck: amounts or rooms have changed."""
        self.reached, self.closed = set(), 0
