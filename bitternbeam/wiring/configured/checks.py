"""What a version may not say while this process runs."""

from __future__ import annotations

from bitternbeam.configuration.faults import DocumentError, Fault, path_of
from bitternbeam.configuration.node import TWO_DIRECTORIES
from bitternbeam.configuration.schema import Sip
from bitternbeam.configuration.snapshot import Snapshot

RESTART = "is taken by a restart alone"


def fixed(old: Snapshot, new: Snapshot) -> None:
    """Refuse a version that changes what this process can't change: where it listens, what headers mean."""
    ours, theirs = old.sip or Sip(), new.sip or Sip()
    faults = [
        Fault(path_of("sip", "", name.replace("call_class", "class")), RESTART)
        for name in ("enabled", "listen", "call_class", "class_header", "load_header", "answer_ms")
        if getattr(ours, name) != getattr(theirs, name)
    ]
    if faults:
        raise DocumentError(faults)


def one_directory(_old: Snapshot, new: Snapshot) -> None:
    """Refuse a version that names a directory beside the fleet's pool view."""
    if new.consul is not None:
        raise DocumentError([Fault("consul", TWO_DIRECTORIES)])
