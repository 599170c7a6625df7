"""Typed reads of JSON values: every fault is one line that names the key by its whole path."""

from __future__ import annotations

import json
import math
from typing import Any, NoReturn

MAX_ABSOLUTE = 1e15  # of any number: as microseconds, thirty years


class FieldError(ValueError):
    """A value that is missing, of the wrong type or out of range; the text names its key."""


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a number")


def parse(text: str) -> Any:
    """Parse JSON; NaN and the infinities, which JSON has not, are refused. Raises ValueError."""
    try:
        return json.loads(text, parse_constant=_reject_constant)
    except RecursionError:
        raise ValueError("nested too deeply") from None


class Fields:
    """One JSON object, and where it stands."""

    def __init__(self, raw: object, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise FieldError(f"'{path}' has the wrong form: not an object" if path else "not an object")
        self.raw: dict[str, Any] = raw
        self.path = path

    def full_key(self, name: str) -> str:
        """Return the whole path of a key."""
        return f"{self.path}.{name}" if self.path else name

    def _get(self, name: str, default: object) -> Any:
        if name in self.raw:
            return self.raw[name]
        if default is None:
            raise FieldError(f"'{self.full_key(name)}' is missing")
        return default

    def _raise_wrong_form(self, name: str, value: object, wanted: str) -> NoReturn:
        shown = json.dumps(value)
        shown = shown if len(shown) <= 40 else shown[:37] + "..."
        raise FieldError(f"'{self.full_key(name)}' has the wrong form: {shown} is not {wanted}")

    def contains(self, name: str) -> bool:
        """Tell whether a key is there."""
        return name in self.raw

    def nested(self, name: str, default: dict[str, Any] | None = None) -> Fields:
        """Return an object."""
        return Fields(self._get(name, default), self.full_key(name))

    def array(self, name: str, default: list[Any] | None = None) -> list[Any]:
        """Return an array."""
        value = self._get(name, default)
        if not isinstance(value, list):
            self._raise_wrong_form(name, value, "an array")
        return value

    def objects(self, name: str, default: list[Any] | None = None) -> list[Fields]:
        """Return an array of objects."""
        values = self.array(name, default)
        return [Fields(value, f"{self.full_key(name)}[{index}]") for index, value in enumerate(values)]

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._get(name, default)
        if not isinstance(value, str):
            self._raise_wrong_form(name, value, "a string")
        return value

    def boolean(self, name: str, default: bool | None = None) -> bool:
        """Return true or false."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            self._raise_wrong_form(name, value, "true or false")
        return value

    def number(
        self,
        name: str,
        default: float | None = None,
        *,
        minimum: float = -MAX_ABSOLUTE,
        above: float | None = None,
        maximum: float = MAX_ABSOLUTE,
    ) -> float:
        """Return a number from least (or just above `above`) to most."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self._raise_wrong_form(name, value, "a number")
        if isinstance(value, float) and not math.isfinite(value):
            self._raise_wrong_form(name, str(value), "a number")
        if above is not None and value <= above:
            raise FieldError(f"'{self.full_key(name)}' must be above {above:g}, not {value}")
        if value < minimum:
            raise FieldError(f"'{self.full_key(name)}' must be at least {minimum:g}, not {value}")
        if value > maximum:
            raise FieldError(f"'{self.full_key(name)}' must be at most {maximum:g}")
        return value

    def integer(
        self,
        name: str,
        default: int | None = None,
        *,
        minimum: float = -MAX_ABSOLUTE,
        above: float | None = None,
        maximum: float = MAX_ABSOLUTE,
    ) -> int:
        """Return a whole number in the same way."""
        value = self.number(name, default, minimum=minimum, above=above, maximum=maximum)
        if value != int(value):
            self._raise_wrong_form(name, value, "a whole number")
        return int(value)
