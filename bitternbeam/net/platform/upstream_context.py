"""The dependencies that all booker pools share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bitternbeam.core.control import CallControl
from bitternbeam.counters import Counters
from bitternbeam.limits import Limits
from bitternbeam.net.platform.descriptor_quota import DescriptorQuota
from bitternbeam.net.platform.inherited_calls import InheritedCalls
from bitternbeam.tables.deadlines import Deadlines


@dataclass(frozen=True, slots=True)
class UpstreamContext:
    """The dependencies that all booker pools share."""

    reactor: Any
    core: CallControl
    deadlines: Deadlines
    limits: Limits
    counters: Counters
    inherited_calls: InheritedCalls
    descriptor_quota: DescriptorQuota
