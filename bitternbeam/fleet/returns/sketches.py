"""Sketches of bounded size: the number of distinct clients, their retry deadlines and their violations.

- `HyperLogLog`: cardinality (Flajolet, Fusy, Gandouet, Meunier, 2007) with 1,024 registers, standard error
  3.25 %, linear counting below 2.5 times that (Whang, Vander-Zanden, Taylor, 1990). Members' sketches merge
  by the maximum, so that a client that went to several members counts once.
- `RetryDeadlines`: the time before which each client must not retry, in cells of 500 ms; clients that share
  all their cells get the later time.
- `ViolationCounter`: count-min with conservative update (Cormode and Muthukrishnan, 2005; Estan and Varghese,
  2002), four rows of 16,384 bytes. After as many violations as a row has cells all counts are halved, which
  bounds the error by collisions.
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
    """Estimates the number of distinct clients."""

    def __init__(self, registers: bytes | bytearray = bytes(REGISTERS)) -> None:
        self.registers = bytearray(registers)

    def add(self, mix: int) -> None:
        """Add a client by its 64-bit hash."""
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
        """Return the encoded sketch, some 500 characters; '' if it is empty."""
        if not any(self.registers):
            return ""
        return base64.b85encode(zlib.compress(bytes(self.registers), 9)).decode()


def merge_sketches(sketches: Iterable[HyperLogLog]) -> HyperLogLog:
    """Return the sketch of the union."""
    registers = [one.registers for one in sketches if any(one.registers)]
    if len(registers) < 2:
        return HyperLogLog(*registers)
    return HyperLogLog(bytes(map(max, *registers)))


def parse_sketch(text: object) -> HyperLogLog | None:
    """Parse an encoded sketch; None if it is malformed."""
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
    """The time before which each client must not retry, in ms since the start of the window."""

    def __init__(self) -> None:
        self.cells = array("H", bytes(2 * ROWS * CELLS))

    def extend(self, mix: int, due_ms: int) -> None:
        """Set a client's deadline unless it has a later one."""
        due = max(0, min(due_ms // CELL_MS, 0xFFFF))
        cells = self.cells
        for at in cell_indexes(mix):
            if cells[at] < due:  # noqa: PLR1730 - asked at each early call
                cells[at] = due

    def deadline_ms(self, mix: int) -> int:
        """Return the deadline, rounded down; 0 if the client has none."""
        cells, (one, two, three, four) = self.cells, cell_indexes(mix)
        return min(cells[one], cells[two], cells[three], cells[four]) * CELL_MS


class ViolationCounter:
    """Counts early arrivals by client; never too low, apart from halving."""

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
