"""Every size, count and time of the daemon: filled once at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass, replace

MS = 1_000
SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, times in microseconds."""

    line_bytes: int = 16 * 1024  # longest message on the platform's wire
    number_chars: int = 256  # longest number called
    calls: int = 20_000  # open at once, standing ones included
    client_connections: int = 512  # half of the descriptors: callers hold a third, the rest may be idle
    client_closing_connections: int = (
        64  # beside these: given up and not closed yet; past that none is accepted
    )
    accept_retry_us: int = 100 * MS  # between two tries of a port for which there was no descriptor
    client_first_request_us: int = 2 * SECOND  # a connection that asks for nothing is closed after
    client_new_us: int = 250 * MS  # within which a connection may well be a usual caller's
    client_idle_us: int = 10 * SECOND  # after its last set-up was answered; callers close theirs after 4 s
    client_excess_connections: int = 32  # connections past the limit at once, whose requests are refused
    client_requests: int = 2_000  # open on one connection
    client_backlog: int = 256  # messages to a client that does not read what was sent before
    client_recheck_us: int = 25 * MS  # so long after it was read, a client is looked at again before a send
    booker_connections: int = 12  # to one booker; past that, set-ups share them
    booker_fleet_connections: int = (
        96  # to one booker, of all gateways together: what each may hold is a part
    )
    upstream_connections: int = 393  # to all servers together, those being made and closed included
    booker_connecting: int = 2  # being made to one booker at once
    booker_early_resets: int = (
        3  # connections in a row that are reset when new: then one each booker_retry_us
    )
    booker_spare_retry_us: int = 2 * SECOND  # no spare is asked for after one was not to be had
    booker_skipped_answer_us: int = 300 * MS  # a set-up sent so long after was answered: no answer will come
    booker_quarantine_us: int = 2 * SECOND  # a silent connection is still heard for so long
    booker_connect_us: int = 500 * MS
    booker_retry_us: int = 500 * MS  # between two connections that could not be made
    booker_silent_us: int = 2_500 * MS  # nothing heard for so long: see whether a new connection comes up
    booker_probe_us: int = 250 * MS  # a probe unanswered for so long is lost
    booker_report_repeat_us: int = (
        100 * MS
    )  # the state of its lines, told again alike within this, is one report
    booker_removal_grace_us: int = 2 * SECOND  # after it has gone from the list: what stood there is over
    discovery_connect_us: int = 500 * MS
    discovery_settle_us: int = 250 * MS  # asked at the start, it says what is new within this, or nothing is
    discovery_burst_us: int = 20 * MS  # after its first event: those told with it have come
    discovery_retry_us: int = 100 * MS
    discovery_first_line_us: int = 1_300 * MS  # on a new connection; it says a number every second
    discovery_silent_us: int = 1_800 * MS  # between two lines; one or two numbers are missing by then
    stalled_us: int = 2 * SECOND  # a peer that reads nothing for so long is cut off
    linger_us: int = SECOND  # after the end of our output was sent: for the peer to read it and close
    linger_bytes: int = 64 * 1024  # of input thrown away meanwhile
    linger_connections: int = 32  # that linger at once in the process: past that the oldest is cut off
    answer_margin_us: int = 25 * MS  # the core's own final answer comes so long before the caller leaves
    drain_us: int = 700 * MS  # requests that still arrive after SIGTERM
    kill_deadline_us: int = 3 * SECOND  # towards SIGKILL the longest deadline counts for no more,
    kill_margin_us: int = 700 * MS  # and SIGKILL comes so long after it
    closing_reserve_us: int = 400 * MS  # before SIGKILL: every request has its answer by then
    exit_reserve_us: int = 150 * MS  # before SIGKILL: every connection is closed by then
    shutdown_check_us: int = 20 * MS  # between two looks whether a phase of the shutdown is over
    flush_us: int = 150 * MS  # for the last bytes to leave
    orphaned_calls_us: int = 60 * SECOND  # after the start: calls that stood before it have come to their end
    undelivered_releases: int = 1_000  # releases kept for callers that have no connection now
    consul_connect_us: int = 1 * SECOND
    consul_wait_us: int = 60 * SECOND  # of one blocking query
    consul_min_interval_us: int = 100 * MS  # between two questions
    consul_retry_us: int = 500 * MS  # after the first error, then doubling
    consul_max_backoff_us: int = 30 * SECOND
    control_connect_us: int = 2 * SECOND
    control_retry_us: int = 500 * MS  # after each control service was tried once, then doubling
    control_max_backoff_us: int = 30 * SECOND
    control_silent_us: int = 30 * SECOND  # a service says something every third of it
    control_line_bytes: int = 256 * 1024  # of one message
    control_version_bytes: int = 48 * 1024 * 1024  # of one version's payload
    control_version_entries: int = 250_000
    control_transfer_us: int = 120 * SECOND  # of one payload, whatever its size
    operator_line_bytes: int = 64 * 1024
    admin_connections: int = 32  # open on the admin address at once; past that the oldest makes room
    admin_closing: int = 4  # beside these: answered or pushed out, and not closed yet
    admin_line_bytes: int = 512  # of one question
    admin_line_us: int = 1_500 * MS  # for a whole line to come; every answer is due within 1 s of it
    operator_connections: int = 16
    sip_t1_us: int = 500 * MS  # RFC 3261's estimate of a round trip
    sip_t2_us: int = 4 * SECOND  # the longest gap between retransmissions
    sip_t4_us: int = 5 * SECOND  # the longest that a message stays in the network
    sip_d_us: int = 32 * SECOND  # a refused INVITE's ACK is repeated for so long over UDP
    sip_head_bytes: int = 16 * 1024
    sip_body_bytes: int = 48 * 1024
    sip_transactions: int = 40_000
    sip_connections: int = 128
    sip_idle_us: int = 120 * SECOND  # a TCP connection on which nothing moved is closed

    def __post_init__(self) -> None:
        """Refuse what could not serve a single call."""
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"limits: {name} must be above 0")

    def share_of_fleet(self, gateways: int) -> Limits:
        """Return these as one of so many gateways has them, as a booker's connections are all the fleet's.

        Danger: a booker takes so many and no more. Spares, opened in one burst and kept, left none for other
        gateways, whose set-ups there then failed without having been sent. One is always allowed.
        """
        part = max(1, self.booker_fleet_connections // max(1, gateways))
        return replace(self, booker_connections=min(self.booker_connections, part))
