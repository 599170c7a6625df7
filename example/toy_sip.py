"""A toy SIP server over UDP, and one call through the controller's SIP front.

Start toy.py and this, then

    GW_CONFIG=example/config.json BITTERNBEAM_SIP=example/sip.toml \
        BITTERNBEAM_PLUGINS=example/plugins.toml .venv/bin/python -m bitternbeam

It dials by itself: an INVITE, its answer, the ACK, and a BYE a second later.
"""

import asyncio

FRONT, SERVER, CALLER = ("127.0.0.1", 5062), ("127.0.0.1", 5072), ("127.0.0.1", 5073)
KEPT = ("via", "from", "to", "call-id", "cseq")  # what a response takes over from its request


def read(packet):
    """Return the first line and the headers, their names in lower case."""
    first, *lines = packet.decode().partition("\r\n\r\n")[0].split("\r\n")
    pairs = (line.partition(":")[::2] for line in lines)
    return first, [(name.strip().lower(), value.strip()) for name, value in pairs]


def write(first, headers, body=""):
    """Return a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers), f"content-length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class Server(asyncio.DatagramProtocol):
    """Answers every INVITE and BYE."""

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, packet, peer):
        first, headers = read(packet)
        print("server <-", first)
        if first.startswith(("INVITE", "BYE")):
            kept = [(name, value) for name, value in headers if name in KEPT]
            kept = [(n, v + ";tag=toy" if n == "to" and ";tag=" not in v else v) for n, v in kept]
            kept.append(("contact", f"<sip:{SERVER[0]}:{SERVER[1]}>"))
            self.transport.sendto(write("SIP/2.0 200 OK", kept, "v=0\r\n"), peer)


class Caller(asyncio.DatagramProtocol):
    """Dials until it is answered, then hangs up."""

    def __init__(self):
        self.answered = asyncio.get_running_loop().create_future()
        self.to = f"<sip:1@{FRONT[0]}>"

    def connection_made(self, transport):
        self.transport = transport

    def say(self, method, number):
        mine = f"{CALLER[0]}:{CALLER[1]}"
        headers = [
            ("via", f"SIP/2.0/UDP {mine};branch=z9hG4bK{method}{number}"), ("max-forwards", "70"),
            ("from", f"<sip:desk@{mine}>;tag=desk"), ("to", self.to), ("call-id", "toy-call"),
            ("cseq", f"{number} {method}"), ("contact", f"<sip:{mine}>"),
        ]
        self.transport.sendto(write(f"{method} sip:1@{FRONT[0]}:{FRONT[1]} SIP/2.0", headers), FRONT)

    def datagram_received(self, packet, peer):
        first, headers = read(packet)
        print("caller <-", first)
        if int(first.split()[1]) >= 200 and dict(headers)["cseq"].endswith("INVITE"):
            self.to = dict(headers)["to"]
            self.say("ACK", 1)
            if not self.answered.done():
                self.answered.set_result(None)


async def main():
    """Serve, and dial again every second until the controller is up and answers."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(Server, local_addr=SERVER)
    _, caller = await loop.create_datagram_endpoint(Caller, local_addr=CALLER)
    while not caller.answered.done():
        caller.say("INVITE", 1)
        await asyncio.wait([caller.answered], timeout=1)
    await asyncio.sleep(1)
    caller.say("BYE", 2)
    await asyncio.Event().wait()  # serve on until it is stopped


asyncio.run(main())
