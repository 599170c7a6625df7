"""A stand-in for Consul's session, KV, agent and catalogue API, written from Consul's published HTTP docs.

    python -m standins.consul --listen 127.0.0.1:0 --ready-file port.txt

What it keeps (engine.Engine, pure: the time is handed in):
- sessions (`PUT /v1/session/create` with `TTL`, `LockDelay`, `Behavior`, `Name`; `renew`, `destroy`),
  invalidated once their TTL has passed since the last renewal it received, their locks released and held
  back for the lock-delay;
- KV (`GET`, `PUT` with `?acquire=`, `?release=`, `?cas=`, `DELETE`; `?recurse`), each entry with
  `CreateIndex`, `ModifyIndex`, `LockIndex`, `Session` and its value in base64;
- services registered with a TTL check (`/v1/agent/service/register`, `/v1/agent/check/pass/<id>`),
  answered by `/v1/catalog/service/<name>` and `/v1/health/service/<name>`;
- blocking queries: `?index=N&wait=Ns` is held until the index passes N or the wait ends.

Faults for the lab, by `PUT /lab/<fault>`: `restart` (all is forgotten and the index starts low again), `keep`
and later `back` (what was held at `keep` is held again, the index too, as after a snapshot was restored),
`slow?ms=N` (every answer later by N ms), `silent` (no answer at all), `garbage`, `error` (HTTP 500),
`well` (no fault), and `trap?op=acquire&key=TEXT&when=before` or `after`: the next request of that kind whose
path holds the text is never answered, and is carried out only with `after`; its asker is logged, so that the
lab can kill a member between two steps. `GET /lab/requests` counts what was asked, by kind and by asker.

`--log FILE` gets one JSON line for each write, session and trap: `at_us` (monotonic), `event`, `agent`, ...
"""
