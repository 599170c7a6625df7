"""Bounded memories of clients: how many there are, and which ones come early again and again.

- `Distinct`: HyperLogLog (Flajolet, Fusy, Gandouet, Meunier, 2007) with 1,024 registers, standard error
  3.25 %, linear counting below 2.5 times that (Whang, Vander-Zanden, Taylor, 1990). Members' sketches merge
  by the maximum, so that a client that went to several members counts once.
- `Dues`: until when each client was told to stay away, in cells of 500 ms; two that share all their cells
  pass for the later.
- `Strikes`: count-min with conservative update (Cormode and Muthukrishnan, 2005; Estan and Varghese, 2002),
  four rows of 16,384 bytes. When as many strikes were counted as a row has cells, all are halved, so that
  collisions never drown it.
"""

from __future__ import annotations

import base64
import binascii
import math
import zlib
from array import array
from collections.abc import Iterable

REGISTERS = 1 << 10
MAX_REGISTER_VALUE = 55  # leading zeros of the 54 bits that are left, and one
ROWS, CELLS = 4, 1 << 14
MASK = CELLS - 1
CELL_MS = 500
MAX_ENCODED_CHARS = 2_000  # characters of a stored sketch
ALPHA = 0.7213 / (1 + 1.079 / REGISTERS)
HALVED_BYTES = bytes(value // 2 for value in range(256))


class HyperLogLog:
    """How many different clients were seen."""

    def __init__(self, registers: bytes | bytearray = bytes(REGISTERS)) -> None:
        self.registers = bytearray(registers)

    def add(self, mix: int) -> None:
        """Take a client's 64-bit hash."""
        at = mix & (REGISTERS - 1)
        rank = MAX_REGISTER_VALUE - (mix >> 10).bit_length()
        if self.registers[at] < rank:  # noqa: PLR1730 - asked at each call
            self.registers[at] = rank

    def count(self) -> float:
        """Return the estimate."""
        counts = ((value, self.registers.count(value)) for value in range(MAX_REGISTER_VALUE + 1))
        raw = ALPHA * REGISTERS * REGISTERS / sum(count * 2.0**-value for value, count in counts)
        empty = self.registers.count(0)
        if raw <= 2.5 * REGISTERS and empty:
            return REGISTERS * math.log(REGISTERS / empty)
        return raw

    def encode(self) -> str:
        """Return it as a report carries it, some 500 characters; '' for one that has seen nobody."""
        if not any(self.registers):
            return ""
        return base64.b85encode(zlib.compress(bytes(self.registers), 9)).decode()


def merge_sketches(sketches: Iterable[HyperLogLog]) -> HyperLogLog:
    """Return one sketch of all the clients that any has seen."""
    registers = [one.registers for one in sketches if any(one.registers)]
    if len(registers) < 2:
        return HyperLogLog(*registers)
    return HyperLogLog(bytes(map(max, *registers)))


def parse_sketch(text: object) -> HyperLogLog | None:
    """Read a sketch; None where it is not one."""
    if not isinstance(text, str) or len(text) > MAX_ENCODED_CHARS:
        return None
    if not text:
        return HyperLogLog()
    try:
        unpack = zlib.decompressobj()
        registers = unpack.decompress(base64.b85decode(text), REGISTERS + 1)
    except (ValueError, binascii.Error, zlib.error):
        return None
    if len(registers) != REGISTERS or max(registers) > MAX_REGISTER_VALUE:
        return None
    return HyperLogLog(registers)


def cell_indexes(mix: int) -> tuple[int, int, int, int]:
    """Return a client's cell in each row, by its 64-bit hash."""
    one, two, three, four = mix & MASK, mix >> 16 & MASK, mix >> 32 & MASK, mix >> 48 & MASK
    return one, CELLS + two, 2 * CELLS + three, 3 * CELLS + four


class RetryDeadlines:
    """Until when each client was told to stay away; times in ms from the epoch's beginning."""

    def __init__(self) -> None:
        self.cells = array("H", bytes(2 * ROWS * CELLS))

    def extend(self, mix: int, due_ms: int) -> None:
        """Note what a client was told."""
        due = max(0, min(due_ms // CELL_MS, 0xFFFF))
        cells = self.cells
        for at in cell_indexes(mix):
            if cells[at] < due:  # noqa: PLR1730 - asked at each early call
                cells[at] = due

    def deadline_ms(self, mix: int) -> int:
        """Return until when it was to stay away, or somewhat earlier; 0 where it was told nothing."""
        cells, (one, two, three, four) = self.cells, cell_indexes(mix)
        return min(cells[one], cells[two], cells[three], cells[four]) * CELL_MS


class ViolationCounter:
    """How often each client came early; never told as less than it was since the last halving."""

    def __init__(self) -> None:
        self.cells = bytearray(ROWS * CELLS)
        self.total = 0

    def count(self, mix: int) -> int:
        """Return how often a client, by its 64-bit hash, came early."""
        cells, (one, two, three, four) = self.cells, cell_indexes(mix)
        return min(cells[one], cells[two], cells[three], cells[four])

    def add(self, mix: int) -> None:
        """Count one more."""
        own, cells = cell_indexes(mix), self.cells
        least = min(cells[at] for at in own)
        if least == 255:
            return
        for at in own:
            if cells[at] == least:
                cells[at] += 1
        self.total += 1
        if self.total >= CELLS:
            self.cells, self.total = cells.translate(HALVED_BYTES), self.total // 2
