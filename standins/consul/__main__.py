"""Serve the stand-in for Consul on an address of loopback."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

from twisted.internet import reactor as installed_reactor
from twisted.web.server import Site

from standins.consul.api import Api


def main(argv: list[str] | None = None) -> int:
    """Serve the stand-in on an address; writes its port to --ready-file once it listens."""
    parser = argparse.ArgumentParser(
        prog="standins.consul", description="A stand-in for Consul's session, KV, agent and catalogue API."
    )
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--ready-file", type=Path)
    parser.add_argument("--log", type=Path)
    told = parser.parse_args(argv)
    host, _, port = told.listen.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        print(f"standins.consul: --listen {told.listen!r}: give 127.x.y.z:PORT", file=sys.stderr)
        return 2
    reactor: Any = installed_reactor
    api = Api(reactor, log=told.log.open("a") if told.log else None)
    site = Site(api.resource())
    site.noisy = False
    listening = reactor.listenTCP(int(port), site, interface=host)
    if told.ready_file:
        told.ready_file.write_text(f"{listening.getHost().port}\n")
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
