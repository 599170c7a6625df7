"""The version that a daemon comes up on: out of the store, or out of the file."""

from __future__ import annotations

import logging

from bitternbeam.config import Config
from bitternbeam.configuration.faults import DocumentError
from bitternbeam.configuration.negotiation import Bounds
from bitternbeam.configuration.node import Site
from bitternbeam.configuration.probation import Terms
from bitternbeam.configuration.versions import Draft, Versions
from bitternbeam.store.records import StoreError
from bitternbeam.store.versions import VersionStore
from bitternbeam.wiring.recovering import keep_file, recover

log = logging.getLogger("bitternbeam")


def open_store(site: Site) -> VersionStore | None:
    """Open the store that the file names; None: none is wanted, or the file is to do without."""
    if not site.node.store:
        return None
    try:
        return VersionStore(site.beside(site.node.store), site.node.store_mb)
    except StoreError as error:
        if site.node.on_store_error == "refuse":
            raise
        log.error("%s; going on with the file, without a store", error)
        return None


def versions_of(
    site: Site, config: Config, store: VersionStore | None, terms: Terms, now_us: int
) -> tuple[Versions, Draft | None, VersionStore | None]:
    """Come up on one whole version: the store's, or the file's where the store can't be used."""
    limits = config.limits
    bounds = Bounds(limits.control_version_bytes, limits.control_version_entries)
    if store is not None:
        try:
            versions, staged = recover(config.settings, site.entries, store, terms, now_us, bounds=bounds)
            if store.empty:
                keep_file(store, versions.good, now_us)
            return versions, staged, store
        except (StoreError, DocumentError) as error:
            store.close()
            if site.node.on_store_error == "refuse" or (isinstance(error, DocumentError) and store.empty):
                raise
            log.error("%s; going on with the file, without a store", error)
    versions, staged = recover(config.settings, site.entries, None, terms, now_us, bounds=bounds)
    return versions, staged, None
