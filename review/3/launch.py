"""Start the controller as `python -m bitternbeam` does, but read the SIP side's file without msgspec.

Only for an environment without requirements-full.txt: there bitternbeam.wiring.files can't be imported. The daemon
and its parts are the project's own, put together as in bitternbeam/wiring/run.py.
"""

from __future__ import annotations

import logging
import os
import sys
import tomllib
from pathlib import Path

from twisted.internet import reactor

from bitternbeam.config import read_address, read_config
from bitternbeam.net.sip.settings import ConsulSettings, SipSettings
from bitternbeam.wiring.daemon import Daemon
from bitternbeam.wiring.platform import PlatformPart
from bitternbeam.wiring.sip import SipPart

logging.basicConfig(
    stream=sys.stderr, level=logging.INFO, format="%(asctime)s.%(msecs)03d %(name)s %(message)s", datefmt="%H:%M:%S"
)
config = read_config()
raw = tomllib.loads(Path(os.environ["BITTERNBEAM_SIP"]).read_text())
sip, consul = raw["sip"], raw["consul"]
host, port = read_address("sip.listen", sip["listen"])
settings = SipSettings(
    host=host,
    port=port,
    call_class=sip["class"],
    answer_us=sip["answer_ms"] * 1000,
    consul=ConsulSettings(*read_address("consul.addr", consul["addr"]), consul["service"]),
)
daemon = Daemon(reactor, config)
daemon.parts += [PlatformPart(daemon.common), SipPart(daemon.common, settings)]
sys.exit(daemon.run())
