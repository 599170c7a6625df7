"""The state of one stand-in Consul: pure, with the time handed in."""

from __future__ import annotations

import copy
import uuid
from dataclasses import dataclass, field
from typing import Any

from standins.consul.records import SECOND_US, Entry, Service, SessionRecord, duration_us


@dataclass
class Engine:
    """The state of one stand-in Consul; every method takes the time in microseconds."""

    index: int = 1
    sessions: dict[str, SessionRecord] = field(default_factory=dict)
    kv: dict[str, Entry] = field(default_factory=dict)
    delayed: dict[str, int] = field(default_factory=dict)  # key -> no acquire before this time
    services: dict[str, Service] = field(default_factory=dict)
    restarts: int = 0
    kv_index: int = 1  # of the last change that left no entry behind (a delete)
    service_index: dict[str, int] = field(default_factory=dict)  # by service name
    critical: set[str] = field(default_factory=set)  # service ids whose check ran out

    def _bump(self) -> int:
        self.index += 1
        return self.index

    def expire(self, now_us: int) -> list[str]:
        """Invalidate sessions whose TTL ran out; returns their ids."""
        gone = [one.id for one in self.sessions.values() if now_us >= one.renewed_us + one.ttl_us]
        for session_id in gone:
            self.destroy(session_id, now_us)
        for one in self.services.values():
            if now_us >= one.passed_us + one.check_ttl_us and one.id not in self.critical:
                self.critical.add(one.id)
                self._service_changed(one)
        return gone

    def _service_changed(self, one: Service) -> None:
        one.index = self.service_index[one.name] = self._bump()

    def create_session(self, body: dict[str, Any], now_us: int) -> str:
        """`PUT /v1/session/create`; raises ValueError on a bad TTL or behaviour."""
        ttl_us = duration_us(str(body.get("TTL", "")), 0)
        if ttl_us and not 1 * SECOND_US <= ttl_us <= 86_400 * SECOND_US:
            raise ValueError("TTL must be between 1s and 86400s")  # Consul's own bound is 10s
        behavior = str(body.get("Behavior", "release"))
        if behavior not in ("release", "delete"):
            raise ValueError(f"bad behavior {behavior!r}")
        lock_delay_us = duration_us(str(body.get("LockDelay", "")), 15 * SECOND_US)
        session_id = str(uuid.uuid4())
        self.sessions[session_id] = SessionRecord(
            session_id,
            str(body.get("Name", "")),
            ttl_us or 10**18,
            lock_delay_us,
            behavior,
            now_us,
            self._bump(),
        )
        return session_id

    def renew(self, session_id: str, now_us: int) -> bool:
        """`PUT /v1/session/renew/<id>`: False (404) for a session it does not know."""
        self.expire(now_us)
        one = self.sessions.get(session_id)
        if one is None:
            return False
        one.renewed_us = now_us
        return True

    def destroy(self, session_id: str, now_us: int) -> bool:
        """`PUT /v1/session/destroy/<id>`: its locks are released (or deleted) and held back."""
        one = self.sessions.pop(session_id, None)
        if one is None:
            return False
        for entry in list(self.kv.values()):
            if entry.session != session_id:
                continue
            if one.lock_delay_us:
                self.delayed[entry.key] = now_us + one.lock_delay_us
            if one.behavior == "delete":
                del self.kv[entry.key]
                self.kv_index = self._bump()
            else:
                entry.session = None
                entry.modify_index = self._bump()
        return True

    def put(self, key: str, value: bytes, args: dict[str, str], now_us: int) -> bool:
        """`PUT /v1/kv/<key>` with `acquire`, `release` or `cas`; the answer Consul gives, true or false."""
        self.expire(now_us)
        entry = self.kv.get(key)
        if "cas" in args:
            wanted = int(args["cas"])
            if (wanted == 0 and entry is not None) or (
                wanted and (entry is None or entry.modify_index != wanted)
            ):
                return False
        if "acquire" in args:
            session_id = args["acquire"]
            if session_id not in self.sessions:
                raise ValueError(f"invalid session {session_id!r}")
            if entry is not None and entry.session not in (None, session_id):
                return False
            if (entry is None or entry.session is None) and now_us < self.delayed.get(key, 0):
                return False
            fresh = entry is None or entry.session is None
            entry = self._write(key, value, entry)
            if fresh:
                entry.lock_index += 1
            entry.session = session_id
            return True
        if "release" in args:
            if entry is None or entry.session != args["release"]:
                return False
            entry = self._write(key, value, entry)
            entry.session = None
            return True
        self._write(key, value, entry)
        return True

    def _write(self, key: str, value: bytes, entry: Entry | None) -> Entry:
        index = self._bump()
        if entry is None:
            entry = self.kv[key] = Entry(key, value, index, index)
        else:
            entry.value, entry.modify_index = value, index
        return entry

    def delete(self, key: str, now_us: int) -> bool:
        """`DELETE /v1/kv/<key>`."""
        self.expire(now_us)
        if self.kv.pop(key, None) is None:
            return False
        self.kv_index = self._bump()
        return True

    def index_of(self, path: str, recurse: bool) -> int:
        """Return the index that a blocking query on a path waits for: of the keys or the service it names."""
        parts = path.strip("/").split("/")
        if parts[:2] == ["v1", "kv"]:
            key = "/".join(parts[2:])  # a prefix may end in a slash
            found = [
                one.modify_index
                for name, one in self.kv.items()
                if name == key or (recurse and name.startswith(key))
            ]
            return max([self.kv_index, *found])
        if parts[:3] in (["v1", "health", "service"], ["v1", "catalog", "service"]) and len(parts) == 4:
            return self.service_index.get(parts[3], 1)
        return self.index

    def read(self, key: str, recurse: bool, now_us: int) -> tuple[int, list[dict[str, Any]]]:
        """`GET /v1/kv/<key>`: the index for blocking and the entries shown (empty: 404)."""
        self.expire(now_us)
        found = [
            one for name, one in sorted(self.kv.items()) if name == key or (recurse and name.startswith(key))
        ]
        return self.index, [one.shown() for one in found]

    def register(self, body: dict[str, Any], now_us: int) -> None:
        """`PUT /v1/agent/service/register` with a TTL check; raises ValueError when the body is not one."""
        name = str(body["Name"])
        service_id = str(body.get("ID") or name)
        check = body.get("Check") or {}
        one = Service(
            service_id,
            name,
            str(body.get("Address", "127.0.0.1")),
            int(body.get("Port", 0)),
            {str(key): str(value) for key, value in (body.get("Meta") or {}).items()},
            duration_us(str(check.get("TTL", "")), 10**18),
            now_us,
            0,
        )
        self.services[service_id] = one
        if check and check.get("Status", "critical") != "passing":
            one.passed_us = now_us - one.check_ttl_us  # Consul: a TTL check begins critical
            self.critical.add(service_id)
        else:
            self.critical.discard(service_id)
        self._service_changed(one)

    def deregister(self, service_id: str) -> bool:
        """`PUT /v1/agent/service/deregister/<id>`."""
        one = self.services.pop(service_id, None)
        if one is None:
            return False
        self.critical.discard(service_id)
        self._service_changed(one)
        return True

    def pass_check(self, check_id: str, now_us: int) -> bool:
        """`PUT /v1/agent/check/pass/service:<id>`."""
        one = self.services.get(check_id.removeprefix("service:"))
        if one is None:
            return False
        one.passed_us = now_us
        if one.id in self.critical:
            self.critical.discard(one.id)
            self._service_changed(one)
        return True

    def health(self, name: str, passing: bool, now_us: int) -> tuple[int, list[dict[str, Any]]]:
        """`GET /v1/health/service/<name>`: instances with the status of their TTL check."""
        shown = []
        for one in sorted(self.services.values(), key=lambda service: service.id):
            if one.name != name:
                continue
            over = one.id in self.critical or now_us >= one.passed_us + one.check_ttl_us
            status = "critical" if over else "passing"
            if passing and status != "passing":
                continue
            shown.append(
                {
                    "Node": {"Node": "stand-in", "Address": "127.0.0.1"},
                    "Service": {
                        "ID": one.id,
                        "Service": one.name,
                        "Address": one.address,
                        "Port": one.port,
                        "Meta": one.meta,
                    },
                    "Checks": [{"CheckID": f"service:{one.id}", "Status": status}],
                }
            )
        return self.index, shown

    def catalogue(self, name: str) -> tuple[int, list[dict[str, Any]]]:
        """`GET /v1/catalog/service/<name>`: every registered instance, whatever its check says."""
        shown = [
            {
                "ServiceID": one.id,
                "ServiceName": one.name,
                "ServiceAddress": one.address,
                "ServicePort": one.port,
                "ServiceMeta": one.meta,
            }
            for one in sorted(self.services.values(), key=lambda service: service.id)
            if one.name == name
        ]
        return self.index, shown

    def back(self, kept: Engine, now_us: int) -> None:
        """Hold again what was kept; sessions and checks begin their TTL anew, as under a new leader."""
        self.__dict__ |= copy.deepcopy(kept).__dict__
        for session in self.sessions.values():
            session.renewed_us = now_us
        for service in self.services.values():
            service.passed_us = now_us

    def restart(self) -> None:
        """Forget everything, as a server whose data was lost; the index starts low again."""
        self.index, self.sessions, self.kv, self.delayed, self.services = 1, {}, {}, {}, {}
        self.kv_index, self.service_index, self.critical = 1, {}, set()
        self.restarts += 1
