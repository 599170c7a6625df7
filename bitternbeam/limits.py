"""The daemon's limits on sizes, counts and times, set once at start."""

from __future__ import annotations

from dataclasses import dataclass, replace

MS = 1_000
SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, times in microseconds."""

    line_bytes: int = 16 * 1024  # longest message on the platform protocol
    number_chars: int = 256  # longest called number
    calls: int = 20_000  # open at once, established calls included
    client_connections: int = 512  # half of the descriptors; active clients use up to a third
    client_closing_connections: int = 64  # in addition, being closed; at the limit none is accepted
    accept_retry_us: int = 100 * MS  # retry of accepting after no descriptor was free
    client_first_request_us: int = 2 * SECOND  # a new connection without a request is closed
    client_new_us: int = 250 * MS  # a connection this young may still belong to an ordinary client
    client_idle_us: int = 10 * SECOND  # after its last answer; clients close theirs after 4 s
    client_excess_connections: int = 32  # connections over the limit whose requests are refused
    client_requests: int = 2_000  # open on one connection
    client_queue_bytes: int = 16 * 1024 * 1024  # requests of all clients that were read and not offered yet
    client_offer_us: int = 10 * MS  # requests of one client offered in one turn of the event loop
    client_unseen_us: int = 100 * MS  # a request behind more input than is read in this time is refused
    client_backlog: int = 256  # messages queued for a client that does not read
    client_unread_us: int = SECOND  # a client that takes nothing of more than these is disconnected
    recent_ids: int = 60_000  # of finished requests and calls, which must not run again yet
    client_recheck_us: int = 25 * MS  # a client last read longer ago is read again before a send
    booker_connections: int = 12  # to one booker; further set-ups share them
    booker_fleet_connections: int = 96  # to one booker from the whole fleet, divided equally
    upstream_connections: int = 390  # to all servers, connecting and closing ones included
    booker_connecting: int = 2  # concurrent connection attempts to one booker
    booker_early_resets: int = 3  # new connections reset in a row; then one each booker_retry_us
    booker_spare_retry_us: int = 2 * SECOND  # no spare is opened after one could not be had
    booker_skipped_answer_us: int = 300 * MS  # unanswered, and one sent this much later was answered: lost
    booker_quarantine_us: int = 2 * SECOND  # a silent connection is still read this long
    booker_connect_us: int = 500 * MS
    booker_retry_us: int = 500 * MS  # between failed connection attempts
    booker_silent_us: int = 2_500 * MS  # silence after which a new connection is tried
    booker_renewal_us: int = 4 * SECOND  # between connections opened for releases lost on a silent one
    booker_probe_us: int = 250 * MS  # an unanswered probe is lost
    booker_report_repeat_us: int = 100 * MS  # an equal report of its lines within this time is a repeat
    booker_release_repeat_us: int = 5 * SECOND  # a release this young is repeated if its connection breaks
    booker_removal_grace_us: int = 2 * SECOND  # after a removal, calls on no live connection have ended
    discovery_connect_us: int = 500 * MS
    discovery_settle_us: int = 250 * MS  # at start, updates arrive within this time or there are none
    discovery_burst_us: int = 20 * MS  # events of one burst follow the first within this time
    discovery_retry_us: int = 100 * MS
    discovery_first_line_us: int = 1_300 * MS  # on a new connection; one line arrives every second
    discovery_silent_us: int = 1_800 * MS  # between two lines; one or two lines are missing by then
    discovery_late_us: int = 10 * SECOND  # a silent connection is kept this long: its lines may be late
    discovery_silent_connections: int = 3  # kept at once
    stalled_us: int = 2 * SECOND  # a peer that reads nothing is disconnected
    linger_us: int = SECOND  # after the end of output was sent, for the peer to read it and close
    linger_bytes: int = 64 * 1024  # of input discarded meanwhile
    linger_connections: int = 32  # lingering at once; beyond that the oldest is closed
    answer_margin_us: int = 25 * MS  # the core answers this long before the client leaves
    drain_us: int = 700 * MS  # requests are still accepted after SIGTERM
    kill_deadline_us: int = 3 * SECOND  # maximum of the longest request deadline counted towards SIGKILL
    kill_margin_us: int = 700 * MS  # from that deadline to SIGKILL
    closing_reserve_us: int = 400 * MS  # before SIGKILL: every request is answered
    exit_reserve_us: int = 150 * MS  # before SIGKILL: every connection is closed
    shutdown_check_us: int = 20 * MS  # between checks for the end of a shutdown phase
    flush_us: int = 150 * MS  # for the last output to be sent
    orphaned_calls_us: int = 60 * SECOND  # after start; calls of an earlier process have ended by then
    undelivered_releases: int = 1_000  # releases kept for clients without a connection
    consul_connect_us: int = 1 * SECOND
    consul_wait_us: int = 60 * SECOND  # of one blocking query
    consul_catalogue_slow_us: int = 100 * MS  # without its answer, what left the health API's list drains
    consul_catalogue_us: int = 2 * SECOND  # without its answer, it counts as gone
    consul_min_interval_us: int = 100 * MS  # between queries
    consul_retry_us: int = 500 * MS  # after the first error, then doubling
    consul_max_backoff_us: int = 30 * SECOND
    control_connect_us: int = 2 * SECOND
    control_retry_us: int = 500 * MS  # after each control service was tried once, then doubling
    control_max_backoff_us: int = 30 * SECOND
    control_silent_us: int = 30 * SECOND  # a service sends something every third of it
    control_line_bytes: int = 256 * 1024  # of one message
    control_version_bytes: int = 48 * 1024 * 1024  # of one version's payload
    control_version_entries: int = 250_000
    control_transfer_us: int = 120 * SECOND  # of one payload, whatever its size
    operator_line_bytes: int = 64 * 1024
    admin_connections: int = 32  # on the admin address; beyond that the oldest is closed
    admin_closing: int = 4  # in addition, answered or displaced but not closed yet
    admin_line_bytes: int = 512  # of one query
    admin_line_us: int = 1_500 * MS  # to receive a complete line; the answer is due within 1 s of it
    operator_connections: int = 16
    sip_t1_us: int = 500 * MS  # RFC 3261's estimate of a round trip
    sip_t2_us: int = 4 * SECOND  # the longest gap between retransmissions
    sip_t4_us: int = 5 * SECOND  # the longest that a message stays in the network
    sip_d_us: int = 32 * SECOND  # RFC 3261 timer D: a refused INVITE's ACK is repeated over UDP
    sip_head_bytes: int = 16 * 1024
    sip_body_bytes: int = 48 * 1024
    sip_transactions: int = 40_000
    sip_connections: int = 128
    sip_idle_us: int = 120 * SECOND  # an idle TCP connection is closed

    def __post_init__(self) -> None:
        """Raise ValueError for a limit that is not positive."""
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"limits: {name} must be above 0")

    def share_of_fleet(self, gateways: int) -> Limits:
        """Return the limits of one of this many instances, which share a booker's connections.

        A booker accepts a fixed number. Spare connections that one instance opened in a burst and kept left
        none for the others, whose set-ups then failed unsent. At least one connection is always allowed.
        """
        part = max(1, self.booker_fleet_connections // max(1, gateways))
        return replace(self, booker_connections=min(self.booker_connections, part))
