"""Liveness checks of one booker and its connections, so that no release is lost on a silent one."""

from __future__ import annotations

from bitternbeam.net.platform.booker_connection import BookerConnection
from bitternbeam.net.platform.connection_pool import ConnectionPool


def check_liveness(pool: ConnectionPool) -> None:
    """Check a booker that has calls here, and each connection on which one of them was set up.

    Of a removed server only the connections with calls matter: none is opened in their place.
    """
    if not pool.requests.by_uid:
        return
    for connection in pool.connections:
        connection.count_check()
    if pool.retired:
        for connection in _quiet_connections_with_calls(pool):
            connection.send_heartbeat()
        return
    _check_booker(pool)
    _check_connections_with_calls(pool)
    if any(request.release_in_doubt for request in pool.requests.all()):
        _renew_connection(pool)


def _check_booker(pool: ConnectionPool) -> None:
    """Check a booker that has sent nothing for long while it has calls.

    After half of `booker_silent_us` a heartbeat is sent on one connection. A live booker answers it at
    once, so silence for the whole time means a dead process, whatever happens to new connections.
    """
    now_us, silent_us = pool.context.deadlines.now_us(), pool.context.limits.booker_silent_us
    quiet_us = now_us - pool.last_received_us
    if quiet_us > silent_us:
        _drop_unheard_connections(pool)
        pool.connect()
    elif pool.connections and quiet_us > silent_us // 2 and pool.heartbeat_sent_us <= pool.last_received_us:
        pool.heartbeat_sent_us = now_us
        pool.least_loaded().send_heartbeat()


def _drop_unheard_connections(pool: ConnectionPool) -> None:
    """Drop the connections that came up and carried nothing: a hung process's kernel accepts any number."""
    for connection in pool.connections[:]:
        if not (connection.has_received or connection.pending):
            connection.drop("unheard")


def _check_connections_with_calls(pool: ConnectionPool) -> None:
    """Send heartbeats on quiet connections with calls, and replace one whose booker answers on others only.

    A connection whose reset was lost stays open and silent while others answer heartbeats. Its calls would be
    reported only with discovery's event, which may be 7 s late; a heartbeat provokes the reset. One that goes
    silent and stays open provokes nothing, and the releases that the booker sends on it are lost.
    """
    for connection in _quiet_connections_with_calls(pool):
        if connection.last_received_us < connection.heartbeat_sent_us < pool.heard_us:
            pool.retire_connection(connection, "silent")
        else:
            connection.send_heartbeat()


def _quiet_connections_with_calls(pool: ConnectionPool) -> list[BookerConnection]:
    """Return the connections with calls on which nothing came, nor a heartbeat went, for a while."""
    now_us, silent_us = pool.context.deadlines.now_us(), pool.context.limits.booker_silent_us
    quiet_before_us = now_us - silent_us // 2
    with_calls = _connections_with_calls(pool)
    return [
        connection
        for connection in pool.connections
        if connection in with_calls
        and max(connection.last_received_us, connection.heartbeat_sent_us) < quiet_before_us
    ]


def _connections_with_calls(pool: ConnectionPool) -> set[BookerConnection]:
    """Return the connections on which calls were set up that stand."""
    established = [request for request in pool.requests.all() if request.established]
    return {request.connection for request in established if request.connection is not None}


def _renew_connection(pool: ConnectionPool) -> None:
    """Open a connection if the newest is `booker_renewal_us` old: a booker repeats its releases on new ones.

    It takes the place of the oldest idle one without calls, so that their number stays. While there is none
    it is opened beside the others up to their limit: a call's own connection shows whether its process lives.
    """
    renewed_us = max((connection.opened_us for connection in pool.connections), default=0)
    age_us = pool.context.deadlines.now_us() - renewed_us
    if pool.connecting or age_us < pool.context.limits.booker_renewal_us:
        return
    with_calls = _connections_with_calls(pool)
    idle = [one for one in pool.connections if not (one.pending or one.has_unsent_output)]
    without_calls = [one for one in idle if one not in with_calls]
    replaceable = without_calls or (idle if pool.at_connection_limit else [])
    if replaceable and len(pool.connections) > 1:
        oldest = min(replaceable, key=lambda connection: connection.opened_us)
        pool.retire_connection(oldest, "renewed")
    else:
        pool.connect()
