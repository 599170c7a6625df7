"""What a controller comes up with: the store's last good version and the one that was staged, or the file."""

from __future__ import annotations

from bitternbeam.configuration.compiling import compile_version
from bitternbeam.configuration.delta import Number
from bitternbeam.configuration.faults import DocumentError, Fault
from bitternbeam.configuration.life import Stage, Version
from bitternbeam.configuration.negotiation import Bounds, Negotiation
from bitternbeam.configuration.pinning import Pinning
from bitternbeam.configuration.probation import Terms
from bitternbeam.configuration.reading import line_of
from bitternbeam.configuration.schema import AnyEntry, Key
from bitternbeam.configuration.snapshot import Snapshot
from bitternbeam.configuration.versions import Draft, Past, Versions, content_of
from bitternbeam.decision.interface import Settings
from bitternbeam.memory import collection_paused
from bitternbeam.store.records import EndRecord
from bitternbeam.store.versions import VersionStore

FILE = Number(0, 1)


def anyone(_name: str) -> bool:
    """Take every booker for known: at the start no list has been heard, and the version was checked once."""
    return True


def from_file(settings: Settings, entries: dict[Key, AnyEntry]) -> Snapshot:
    """Return the file's version; raises DocumentError."""
    return compile_version(Snapshot.empty(settings, Number(0, 0)), dict(entries), FILE, anyone)


def from_store(settings: Settings, store: VersionStore) -> Snapshot:
    """Return the store's last good version; raises StoreError, or DocumentError if the settings forbid it."""
    head = store.head
    snapshot = Snapshot.proven(settings, head.good, store.good(), int(head.content, 16))
    classes = {kind.name for kind in settings.classes}
    for section, name in snapshot.entries:
        if section == "class" and name not in classes:
            raise DocumentError([Fault(f"class.{name}", "is not a class of the settings")])
    return snapshot


@collection_paused()
def recover(
    settings: Settings,
    entries: dict[Key, AnyEntry],
    store: VersionStore | None,
    terms: Terms,
    now_us: int,
    *,
    bounds: Bounds = Bounds(),  # noqa: B008 - immutable
) -> tuple[Versions, Draft | None]:
    """Return the versions to come up with, and what was staged and is still to be applied.

    A store that holds a version comes before the file: it was good, or acknowledged. Raises StoreError and
    DocumentError.
    """
    if store is None or store.empty:
        snapshot = from_file(settings, entries)
        return Versions.begin(Pinning(snapshot, terms), Negotiation(bounds), "file"), None
    fresh = store.head.good == Number(0, 0)
    snapshot = from_file(settings, entries) if fresh else from_store(settings, store)
    versions = Versions.begin(Pinning(snapshot, terms), Negotiation(bounds), "file" if fresh else "store")
    records = store.past()
    if records:
        versions.past = [
            Past(one.number, one.content, {}, one.at_us, one.reason, one.undo) for one in records
        ]
    versions.ended = list(map(version_of, store.ended()))
    versions.negotiation.floor = max(versions.negotiation.floor, store.head.floor)
    changes = store.staged()
    if changes is None or store.head.staged is None:
        return versions, None
    version = Version(store.head.staged, "store")
    version.step(Stage.RECEIVED, now_us)
    content = int(store.head.staged_content, 16)
    return versions, Draft(version, changes, False, store.head.staged_content, proven=content)


def version_of(record: EndRecord) -> Version:
    """Return a version that ended before the start."""
    stage = Stage(record.stage)
    steps = [(stage, record.at_us)]
    return Version(record.number, record.source, stage, record.reason, record.key, steps)


def keep_file(store: VersionStore, snapshot: Snapshot, now_us: int) -> None:
    """Make the file's version the store's first good one: later ones are kept as changes from it."""
    lines = [(key, line_of(key, one)) for key, one in snapshot.entries.items()]
    store.stage(snapshot.number, content_of(snapshot), lines, snapshot.number)
    store.settle(now_us, "the file, at the first start", [])
