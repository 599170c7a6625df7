"""The one normal form of a number called, whatever way it was written.

A global number is "+" and its digits (E.164); a short code, or a number of a private plan, is its digits
alone. Both are their own normal form, so that normalising twice changes nothing.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from urllib.parse import unquote

SEPARATORS = str.maketrans("", "", " -.()/\t")  # RFC 3966's visual separators, and what people add
GLOBAL = re.compile(r"\+[1-9][0-9]{0,14}$")  # E.164: at most 15 digits, and no country code begins with 0
LOCAL = re.compile(r"[0-9*#]{1,32}$")
SCHEME = re.compile(r"(tel|sips?):", re.I)


class NumberError(ValueError):
    """A text that is no number; the message says why."""


@dataclass(frozen=True, slots=True)
class Dialling:
    """How numbers are dialled at a place; unless said, in no country's own way."""

    country: str = ""  # its code, for numbers that begin with the national prefix
    national: str = ""  # before a national number
    international: str = "00"  # before a country code (ITU-T E.164 recommends it)
    short: frozenset[str] = frozenset()  # codes that stand for themselves, whatever they begin with

    def __post_init__(self) -> None:
        """Refuse a national prefix that leads to no country."""
        if self.national and not self.country:
            raise NumberError("a national prefix needs a country code")

    private_digits: int = 0  # so many digits or fewer are a number of a private plan


@dataclass(frozen=True, slots=True)
class Normal:
    """A number in its normal form, and what its URI said beside it."""

    number: str
    parameters: dict[str, str] = field(default_factory=dict)  # lower case, as rn or npdi (RFC 4694)

    @property
    def is_global(self) -> bool:
        """Whether it is an E.164 number."""
        return self.number.startswith("+")


def split_uri(text: str) -> tuple[str, dict[str, str]]:
    """Return the number of a tel: or sip: URI or of a plain text, and its parameters in lower case.

    The parameters of a sip: URI's user part are those of a tel: URI (RFC 3261, 19.1.6).
    """
    scheme = SCHEME.match(text)
    rest = text[scheme.end() :] if scheme else text
    if scheme and scheme[1].lower() != "tel":
        user, at, _host = rest.partition("@")
        if not at:
            raise NumberError("a sip: URI without a user part has no number")
        rest = user.partition(":")[0]  # a password is none of ours
    number, *parts = rest.split(";")
    parameters = {}
    for part in parts:
        name, _, value = part.partition("=")
        if name.lower() in parameters:
            raise NumberError(f"parameter {name!r} stands twice")  # RFC 3966, 3: at most once
        parameters[name.lower()] = unquote(value)
    return unquote(number), parameters


def normalise(text: str, dialling: Dialling) -> Normal:
    """Return the normal form of a number as it was dialled or written in a URI; raises NumberError."""
    written, parameters = split_uri(text.strip())
    number = written.translate(SEPARATORS)
    context = parameters.get("phone-context", "").translate(SEPARATORS)
    if not number:
        raise NumberError("no digits")
    if number.startswith("+"):
        whole = number
    elif GLOBAL.match(context):
        whole = context + number  # RFC 3966, 5.1.5: a local number within a global one's prefix
    elif number in dialling.short or len(number) <= dialling.private_digits:
        whole = number
    elif dialling.international and number.startswith(dialling.international):
        whole = "+" + number[len(dialling.international) :]
    elif dialling.national and number.startswith(dialling.national):
        whole = f"+{dialling.country}{number[len(dialling.national) :]}"
    else:
        whole = number
    if not (GLOBAL if whole.startswith("+") else LOCAL).match(whole):
        raise NumberError(f"{text[:40]!r} is no number")
    return Normal(whole, parameters)
