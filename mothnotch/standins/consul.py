"""A stand-in for Consul: agents in front of one catalogue, with blocking queries, maintenance, TTL
checks and injected faults.

It follows the public documentation of the HTTP API; requests that it does not support get status
404, 405 or 400. It records every answer about a service, with its receiver and time, so that the
audit can derive which endpoint list each root was given.
"""

import copy
import json
import re
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import trio

from mothnotch.net import close_now, serve

DEFAULT_WAIT_S, MAX_WAIT_S = 300.0, 600.0
UNIT_SECONDS = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
FILTER_CLAUSE = re.compile(
    r'\s*(?:"(?P<word>[^"]*)"\s+(?P<op>in|not in)\s+(?P<list>[\w.]+)'
    r'|(?P<field>[\w.-]+)\s*(?P<cmp>==|!=)\s*"?(?P<value>[^"]*?)"?)\s*'
)


class InvalidRequestError(Exception):
    """A request that is answered with an error status and text."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status, self.text = status, text


def parse_bool(query, name):
    """Parse a query parameter as Go's ParseBool does."""
    text = query.get(name, "")
    if text in ("1", "t", "T", "true", "TRUE", "True"):
        return True
    if text in ("0", "f", "F", "false", "FALSE", "False"):
        return False
    raise InvalidRequestError(400, f"Invalid value for {name}: {text!r}")


def parse_duration(text):
    """Parse a Go duration, or a bare number of seconds, into seconds."""
    match = re.fullmatch(r"((?:[\d.]+(?:ns|us|ms|s|m|h))+)|([\d.]+)", text)
    if not match:
        raise InvalidRequestError(400, f"Invalid wait time: {text}")
    if match[2]:
        return float(match[2])
    return sum(
        float(n) * UNIT_SECONDS[unit] for n, unit in re.findall(r"([\d.]+)(ns|us|ms|s|m|h)", text)
    )


@dataclass(slots=True)
class Faults:
    """Faults that are injected into an agent."""

    delay_s: float = 0.0  # before every answer
    silent: bool = False  # reads requests and never answers
    status: int = 0  # answers every request with this error status; 0: none
    # "json": half of a body; "huge": an endless body; "cut": closes before the end of the body;
    # "deep": JSON nested too deeply; "headers": an index that is not a number
    garbage: str = ""
    lag: bool = False  # serves the catalogue as it was when the fault began
    no_leader: bool = False  # answers stale reads only
    filtered: bool = False  # its ACL hides all services and nodes


@dataclass(slots=True, frozen=True)
class ServiceAnswer:
    """The record of one answer about a service.

    `states` maps node/id to "up" or "draining". Critical checks do not count, except maintenance.
    `who` is the user agent of the client; `life` counts how often the servers lost their state.
    """

    at: float
    agent: str
    who: str
    life: int
    index: int
    consistent: bool
    filtered: bool
    states: dict


@dataclass(slots=True)
class Catalogue:
    """The state that all servers of the stand-in share."""

    index: int = 10
    life: int = 0
    nodes: dict = field(default_factory=dict)  # node -> {"Address", "Meta"}
    services: dict = field(default_factory=dict)  # (node, service id) -> its fields
    checks: dict = field(default_factory=dict)  # (node, check id) -> its fields
    of_service: dict = field(default_factory=dict)  # service name -> index of the last change
    changed: object = field(default_factory=trio.Event)
    # (node, check id) -> [ttl, expiry time, seconds critical until deregistration, critical since]
    ttl: dict = field(default_factory=dict)

    # ---- changes ----

    def advance_index(self, *names):
        """Advance the index of the catalogue and of these services, and wake blocking queries."""
        self.index += 1
        for name in names:
            self.of_service[name] = self.index
        self.changed.set()
        self.changed = trio.Event()
        return self.index

    def service_names(self, node):
        """Return the names of the services that are registered on a node."""
        return [s["Service"] for (n, _), s in self.services.items() if n == node]

    def register_node(self, node, address, meta=None):
        """Register a node; the same address again changes nothing."""
        previous = self.nodes.get(node)
        if previous is None or previous["Address"] != address:
            index = self.advance_index(*self.service_names(node))
            self.nodes[node] = {
                "Node": node,
                "Address": address,
                "Datacenter": "dc1",
                "Meta": meta or {},
                "CreateIndex": previous["CreateIndex"] if previous else index,
                "ModifyIndex": index,
            }

    def register(self, node, name, id=None, address="", port=0, tags=(), meta=None, weights=None):
        """Register a service; an identical registration changes nothing."""
        if node not in self.nodes:
            self.register_node(node, address or "127.0.0.1")
        id = id or name
        new = {
            "ID": id,
            "Service": name,
            "Tags": list(tags),
            "Address": address,
            "Port": port,
            "Meta": dict(meta or {}),
            "Weights": dict(weights or {"Passing": 1, "Warning": 1}),
            "Namespace": "default",
        }
        previous = self.services.get((node, id))
        if previous is not None and all(previous[k] == v for k, v in new.items()):
            return
        index = self.advance_index(*{name, *([previous["Service"]] if previous else ())})
        self.services[node, id] = {
            **new,
            "CreateIndex": previous["CreateIndex"] if previous else index,
            "ModifyIndex": index,
        }

    def deregister(self, node, id):
        found = self.services.pop((node, id), None)
        if found is None:
            return False
        for key in [k for k, c in self.checks.items() if k[0] == node and c["ServiceID"] == id]:
            del self.checks[key]
            self.ttl.pop(key, None)
        self.advance_index(found["Service"])
        return True

    def deregister_node(self, node):
        names = self.service_names(node)
        for key in [k for k in self.services if k[0] == node]:
            del self.services[key]
        for key in [k for k in self.checks if k[0] == node]:
            del self.checks[key]
            self.ttl.pop(key, None)
        if self.nodes.pop(node, None) is not None:
            self.advance_index(*names)

    def set_check(self, node, check, status, name="", service_id="", output=""):
        """Set the status of a check of a node or of a service; the same status changes nothing."""
        previous = self.checks.get((node, check))
        service = self.services.get((node, service_id), {}).get("Service", "") if service_id else ""
        if previous is not None and (previous["Status"], previous["ServiceID"]) == (
            status,
            service_id,
        ):
            return
        index = self.advance_index(*([service] if service_id else self.service_names(node)))
        self.checks[node, check] = {
            "Node": node,
            "CheckID": check,
            "Name": name or check,
            "Status": status,
            "Notes": "",
            "Output": output,
            "ServiceID": service_id,
            "ServiceName": service,
            "CreateIndex": previous["CreateIndex"] if previous else index,
            "ModifyIndex": index,
        }

    def remove_check(self, node, check):
        found = self.checks.pop((node, check), None)
        self.ttl.pop((node, check), None)
        if found:
            self.advance_index(
                *([found["ServiceName"]] if found["ServiceID"] else self.service_names(node))
            )

    def maintenance(self, node, on, id="", reason=""):
        """Switch the maintenance mode of a node, or of a service, on or off."""
        check = f"_service_maintenance:{id}" if id else "_node_maintenance"
        if on:
            self.set_check(node, check, "critical", "Maintenance Mode", id, reason)
        else:
            self.remove_check(node, check)

    def wipe(self):
        """Lose all state, as after a restore of the servers: the index starts again at a low value."""
        self.life, self.index = self.life + 1, 3
        for table in (self.nodes, self.services, self.checks, self.of_service, self.ttl):
            table.clear()
        self.changed.set()
        self.changed = trio.Event()

    async def run(self):
        """Expire TTL checks, and deregister services that stay critical for too long."""
        while True:
            await trio.sleep(0.25)
            now = trio.current_time()
            for (node, check), timer in list(self.ttl.items()):
                ttl, expires, deregister_after, critical_since = timer
                if critical_since is None and now > expires:
                    timer[3] = now
                    found = self.checks[node, check]
                    self.set_check(
                        node, check, "critical", found["Name"], found["ServiceID"], "TTL expired"
                    )
                elif (
                    critical_since is not None
                    and deregister_after
                    and now > critical_since + deregister_after
                ):
                    self.deregister(node, self.checks[node, check]["ServiceID"])

    # ---- answers ----

    def service_index(self, name):
        """Return the index of a service's last change; of the whole catalogue without a name."""
        return self.of_service.get(
            name, self.index if not name else max(1, min(self.index, 1 + self.life))
        )

    def entries(self, name):
        """Return a service's instances in the form of a health answer."""
        entries = []
        for (node, id), service in sorted(self.services.items()):
            if service["Service"] == name:
                checks = [
                    c
                    for (n, _), c in sorted(self.checks.items())
                    if n == node and c["ServiceID"] in ("", id)
                ]
                entries.append({"Node": self.nodes[node], "Service": service, "Checks": checks})
        return entries


def is_draining(entry):
    """Return whether an entry of a health answer is marked as draining.

    All the marks count that the settings of the demo name: maintenance, tag, metadata and weight.
    """
    service = entry["Service"]
    has_warning = any(c["Status"] == "warning" for c in entry["Checks"])
    return (
        any("_maintenance" in c["CheckID"] for c in entry["Checks"])
        or "draining" in service["Tags"]
        or service["Meta"].get("state") == "draining"
        or service["Weights"]["Warning" if has_warning else "Passing"] <= 0
    )


class ConsulAgent:
    """One Consul agent.

    It passes each answer about a service to `record`. `token`, if any, is the ACL token that
    requests must carry; `resync_s` is the period of anti-entropy.
    """

    def __init__(
        self, catalogue, network, address, node, record=lambda answer: None, token="", resync_s=None
    ):
        self.catalogue, self.network, self.address, self.node = catalogue, network, address, node
        self.record, self.token, self.resync_s = record, token, resync_s
        self.faults, self.snapshot, self.up, self.scope = Faults(), None, False, None
        self.local = {}  # service id -> this agent's own registration, for anti-entropy
        self.counts = {"requests": 0, "answers": 0, "bytes": 0}
        self.requests_by_client = {}  # user agent -> number of requests

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the agent's process until `stop`."""
        with trio.CancelScope() as self.scope:
            listeners = await self.network.listen(self.address)
            self.address, self.up = self.network.bound_address(listeners[0]), True
            self.catalogue.register_node(self.node, "127.0.0.1")
            task_status.started(self)
            try:
                async with trio.open_nursery() as nursery:
                    if self.resync_s:
                        nursery.start_soon(self.resync)
                    nursery.start_soon(serve, listeners, self.serve_client, nursery)
            finally:
                self.up = False
                with trio.CancelScope(shield=True):
                    for listener in listeners:
                        await listener.aclose()

    def stop(self):
        """End the agent's process: its connections are closed and new ones refused."""
        self.scope.cancel()

    def set_lag(self, on):
        """Set whether the agent is cut off from its servers and serves a snapshot taken now."""
        self.snapshot = (
            copy.deepcopy(
                {
                    k: v
                    for k, v in (
                        (name, getattr(self.catalogue, name))
                        for name in ("index", "life", "nodes", "services", "checks", "of_service")
                    )
                }
            )
            if on
            else None
        )
        self.faults.lag = on

    @property
    def visible_catalogue(self):
        """The catalogue as this agent sees it."""
        return Catalogue(**self.snapshot) if self.snapshot else self.catalogue

    async def resync(self):
        """Restore this agent's own registrations in a catalogue that lost them (anti-entropy)."""
        while True:
            await trio.sleep(self.resync_s)
            if not self.snapshot and not self.faults.silent:
                for id, args in list(self.local.items()):
                    self.catalogue.register(self.node, **args)
                    self.catalogue.set_check(self.node, f"service:{id}", "passing", service_id=id)

    # ---- HTTP ----

    async def serve_client(self, stream):
        """Serve the requests of one connection."""
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                request, body = None, bytearray()
                while True:
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(await stream.receive_some(1 << 16))
                    elif isinstance(event, h11.Request):
                        request = event
                    elif isinstance(event, h11.Data) and len(body) < 1 << 20:
                        body += event.data
                    elif isinstance(event, h11.EndOfMessage):
                        break
                    elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                        return
                if (
                    not await self.respond(stream, http, request, bytes(body))
                    or http.our_state is h11.MUST_CLOSE
                ):
                    return
                http.start_next_cycle()
        except (OSError, h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            close_now(stream)

    async def respond(self, stream, http, request, body):
        """Answer one request; return False if the connection must be closed."""
        headers = {k.decode(): v.decode("latin-1") for k, v in request.headers}
        parts = urlsplit(request.target.decode())
        query, answer, extra_headers = (
            dict(parse_qsl(parts.query, keep_blank_values=True)),
            None,
            {},
        )
        self.counts["requests"] += 1
        user_agent = headers.get("user-agent", "")
        self.requests_by_client[user_agent] = self.requests_by_client.get(user_agent, 0) + 1
        if self.faults.silent:
            await trio.sleep_forever()
        try:
            if self.faults.status:
                raise InvalidRequestError(self.faults.status, "the stand-in was told to fail")
            if self.token and headers.get("x-consul-token", query.get("token")) != self.token:
                raise InvalidRequestError(
                    403, "Permission denied: token with AccessorID '00000000' lacks permission"
                )
            value, extra_headers, answer = await self.route(
                request.method.decode(), unquote(parts.path), query, body, user_agent
            )
            status = 200
            out = json.dumps(value).encode() if value is not None else b""
        except InvalidRequestError as error:
            status, out = error.status, error.text.encode()
            if status == 429:
                extra_headers = {"Retry-After": "1"}
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        return await self.send(stream, http, status, out, extra_headers, answer)

    async def send(self, stream, http, status, out, extra_headers, answer):
        """Send a response, corrupted by the fault `garbage`, and record it unless it is corrupted."""
        garbage = self.faults.garbage if status == 200 else ""
        if garbage == "json":
            out = out[: len(out) // 2]
        elif garbage == "deep":
            out = b"[" * 100_000
        elif garbage == "headers":
            extra_headers = {**extra_headers, "X-Consul-Index": "many"}
        length = 1 << 40 if garbage == "huge" else len(out) + (10 if garbage == "cut" else 0)
        head = http.send(
            h11.Response(
                status_code=status,
                headers=[
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(length)),
                    *extra_headers.items(),
                ],
            )
        )
        if garbage == "huge":
            await stream.send_all(head)
            while True:
                await stream.send_all(b" " * (1 << 16))
        data = head + (http.send(h11.Data(data=out)) if out else b"")
        if garbage == "cut":
            await stream.send_all(data)
            return False
        await stream.send_all(data + http.send(h11.EndOfMessage()))
        self.counts["answers"] += 1
        self.counts["bytes"] += len(out)
        if answer is not None and not garbage:
            self.record(ServiceAnswer(trio.current_time(), self.node, *answer))
        return True

    # ---- routes ----

    async def route(self, method, path, query, body, user_agent):
        """Return a request's (value, headers, fields of its ServiceAnswer or None).

        The handler is the method `METHOD_WORD_WORD` for the method and the path after /v1.
        """
        words = path.strip("/").split("/")
        if words[0] != "v1" or len(words) < 3:
            raise InvalidRequestError(404, "Invalid URL path")
        handler = getattr(self, f"{method.lower()}_{words[1]}_{words[2].replace('-', '_')}", None)
        if handler is None:
            raise InvalidRequestError(
                405 if method not in ("GET", "PUT") else 404, f"Invalid URL path: {method} {path}"
            )
        return await handler(words[3:], query, body, user_agent)

    async def wait_for_change(self, name, query):
        """Wait as a blocking query does, and return the headers of its answer."""
        if "consistent" in query and (self.snapshot or self.faults.no_leader):
            raise InvalidRequestError(500, "No cluster leader")
        if "stale" not in query and (self.snapshot or self.faults.no_leader):
            raise InvalidRequestError(500, "No cluster leader")
        try:
            index = int(query.get("index", "0"))
        except ValueError:
            raise InvalidRequestError(400, f"Invalid index: {query['index']}") from None
        if index > 0:
            wait = min(
                MAX_WAIT_S, parse_duration(query["wait"]) if query.get("wait") else DEFAULT_WAIT_S
            )
            # a restored store abandons the blocking queries that wait on the old state
            life = self.visible_catalogue.life
            with trio.move_on_after(wait * 17 / 16):
                while (
                    self.visible_catalogue.service_index(name) <= index
                    and self.visible_catalogue.life == life
                ):
                    if self.snapshot:
                        await trio.sleep(0.05)
                    else:
                        await self.catalogue.changed.wait()
        is_lagging = bool(self.snapshot or self.faults.no_leader)
        headers = {
            "X-Consul-Index": str(self.visible_catalogue.service_index(name)),
            "X-Consul-KnownLeader": str(not is_lagging).lower(),
            "X-Consul-LastContact": "60000" if is_lagging else "0",
        }
        if self.faults.filtered:
            headers["X-Consul-Results-Filtered-By-ACLs"] = "true"
        return headers

    async def get_health_service(self, words, query, body, user_agent):
        headers = await self.wait_for_change(words[0], query)
        catalogue = self.visible_catalogue
        entries = [] if self.faults.filtered else copy.deepcopy(catalogue.entries(words[0]))
        if "passing" in query:
            entries = [e for e in entries if all(c["Status"] == "passing" for c in e["Checks"])]
        if query.get("tag"):
            entries = [e for e in entries if query["tag"] in e["Service"]["Tags"]]
        entries = apply_filter(entries, query.get("filter", ""))
        states = {
            f"{e['Node']['Node']}/{e['Service']['ID']}": "draining" if is_draining(e) else "up"
            for e in entries
        }
        answer = (
            user_agent,
            catalogue.life,
            int(headers["X-Consul-Index"]),
            "consistent" in query,
            self.faults.filtered,
            states,
        )
        return entries, headers, answer

    async def get_health_node(self, words, query, body, user_agent):
        headers = await self.wait_for_change("", query)
        return (
            [c for (n, _), c in sorted(self.visible_catalogue.checks.items()) if n == words[0]],
            headers,
            None,
        )

    async def get_health_checks(self, words, query, body, user_agent):
        headers = await self.wait_for_change(words[0], query)
        return (
            [
                c
                for _, c in sorted(self.visible_catalogue.checks.items())
                if c["ServiceName"] == words[0]
            ],
            headers,
            None,
        )

    async def get_health_state(self, words, query, body, user_agent):
        headers = await self.wait_for_change("", query)
        return (
            [
                c
                for _, c in sorted(self.visible_catalogue.checks.items())
                if words[0] in ("any", c["Status"])
            ],
            headers,
            None,
        )

    async def get_catalog_services(self, words, query, body, user_agent):
        headers = await self.wait_for_change("", query)
        tags = {}
        for s in self.visible_catalogue.services.values():
            tags[s["Service"]] = sorted({*tags.get(s["Service"], ()), *s["Tags"]})
        return {} if self.faults.filtered else tags, headers, None

    async def get_catalog_service(self, words, query, body, user_agent):
        headers = await self.wait_for_change(words[0], query)
        instances = [
            {
                "Node": e["Node"]["Node"],
                "Address": e["Node"]["Address"],
                "Datacenter": "dc1",
                **{
                    f"Service{k}": e["Service"][k]
                    for k in ("ID", "Tags", "Address", "Port", "Meta", "Weights")
                },
                "ServiceName": words[0],
                "CreateIndex": e["Service"]["CreateIndex"],
                "ModifyIndex": e["Service"]["ModifyIndex"],
            }
            for e in self.visible_catalogue.entries(words[0])
        ]
        return (
            apply_filter([] if self.faults.filtered else instances, query.get("filter", "")),
            headers,
            None,
        )

    async def get_catalog_nodes(self, words, query, body, user_agent):
        headers = await self.wait_for_change("", query)
        return [n for _, n in sorted(self.visible_catalogue.nodes.items())], headers, None

    async def get_catalog_node(self, words, query, body, user_agent):
        headers = await self.wait_for_change("", query)
        node = self.visible_catalogue.nodes.get(words[0])
        services = {
            id: s for (n, id), s in self.visible_catalogue.services.items() if n == words[0]
        }
        return node and {"Node": node, "Services": services}, headers, None

    async def get_catalog_datacenters(self, words, query, body, user_agent):
        return ["dc1"], {}, None

    async def put_catalog_register(self, words, query, body, user_agent):
        fields = parse_object(body)
        if not fields.get("Node") or not fields.get("Address"):
            raise InvalidRequestError(400, "Must provide node and address")
        self.catalogue.register_node(fields["Node"], fields["Address"], fields.get("NodeMeta"))
        s, checks = (
            fields.get("Service"),
            fields.get("Checks") or ([fields["Check"]] if fields.get("Check") else []),
        )
        if s:
            self.catalogue.register(
                fields["Node"],
                s["Service"],
                s.get("ID"),
                s.get("Address") or "",
                s.get("Port") or 0,
                s.get("Tags") or (),
                s.get("Meta"),
                s.get("Weights"),
            )
        for c in checks:
            self.catalogue.set_check(
                fields["Node"],
                c.get("CheckID") or c["Name"],
                c["Status"],
                c.get("Name", ""),
                c.get("ServiceID", ""),
            )
        return True, {}, None

    async def put_catalog_deregister(self, words, query, body, user_agent):
        fields = parse_object(body)
        if fields.get("ServiceID"):
            self.catalogue.deregister(fields["Node"], fields["ServiceID"])
        elif fields.get("CheckID"):
            self.catalogue.remove_check(fields["Node"], fields["CheckID"])
        else:
            self.catalogue.deregister_node(fields["Node"])
        return True, {}, None

    async def get_status_leader(self, words, query, body, user_agent):
        return "" if self.faults.no_leader else "127.0.0.1:8300", {}, None

    async def get_status_peers(self, words, query, body, user_agent):
        return ["127.0.0.1:8300"], {}, None

    async def get_agent_self(self, words, query, body, user_agent):
        return (
            {
                "Config": {"Datacenter": "dc1", "NodeName": self.node, "Server": True},
                "Member": {"Name": self.node},
            },
            {},
            None,
        )

    async def get_agent_services(self, words, query, body, user_agent):
        return {id: s for (n, id), s in self.catalogue.services.items() if n == self.node}, {}, None

    async def get_agent_checks(self, words, query, body, user_agent):
        return (
            {check: c for (n, check), c in self.catalogue.checks.items() if n == self.node},
            {},
            None,
        )

    async def put_agent_service(self, words, query, body, user_agent):
        if words[0] == "register":
            self.register(parse_object(body))
        elif words[0] == "deregister":
            self.local.pop(words[1], None)
            if not self.catalogue.deregister(self.node, words[1]):
                raise InvalidRequestError(404, f'Unknown service ID "{words[1]}"')
        elif words[0] == "maintenance":
            if (self.node, words[1]) not in self.catalogue.services:
                raise InvalidRequestError(404, f'Unknown service ID "{words[1]}"')
            self.catalogue.maintenance(
                self.node, parse_bool(query, "enable"), words[1], query.get("reason", "")
            )
        else:
            raise InvalidRequestError(404, "Invalid URL path")
        return None, {}, None

    def register(self, fields):
        if not fields.get("Name"):
            raise InvalidRequestError(400, "Missing service name")
        id = fields.get("ID") or fields["Name"]
        args = {
            "name": fields["Name"],
            "id": id,
            "address": fields.get("Address") or "",
            "port": fields.get("Port") or 0,
            "tags": fields.get("Tags") or (),
            "meta": fields.get("Meta"),
            "weights": fields.get("Weights"),
        }
        self.local[id] = args
        self.catalogue.register(self.node, **args)
        for n, check in enumerate(
            fields.get("Checks") or ([fields["Check"]] if fields.get("Check") else [])
        ):
            check_id = check.get("CheckID") or (
                f"service:{id}" if n == 0 else f"service:{id}:{n + 1}"
            )
            self.catalogue.set_check(
                self.node, check_id, check.get("Status") or "critical", check.get("Name", ""), id
            )
            if check.get("TTL"):
                ttl, deregister_after = (
                    parse_duration(check["TTL"]),
                    parse_duration(check.get("DeregisterCriticalServiceAfter") or "0"),
                )
                self.catalogue.ttl[self.node, check_id] = [
                    ttl,
                    trio.current_time() + ttl,
                    deregister_after,
                    None,
                ]

    async def put_agent_maintenance(self, words, query, body, user_agent):
        self.catalogue.maintenance(
            self.node, parse_bool(query, "enable"), reason=query.get("reason", "")
        )
        return None, {}, None

    async def put_agent_check(self, words, query, body, user_agent):
        action, check = words[0], words[1] if len(words) > 1 else ""
        if action == "register":
            fields = parse_object(body)
            check = fields.get("ID") or fields.get("CheckID") or fields["Name"]
            self.catalogue.set_check(
                self.node,
                check,
                fields.get("Status") or "critical",
                fields["Name"],
                fields.get("ServiceID") or "",
            )
            if fields.get("TTL"):
                ttl = parse_duration(fields["TTL"])
                self.catalogue.ttl[self.node, check] = [ttl, trio.current_time() + ttl, 0, None]
            return None, {}, None
        found = self.catalogue.checks.get((self.node, check))
        if found is None:
            raise InvalidRequestError(404, f'Unknown check ID "{check}"')
        if action == "deregister":
            self.catalogue.remove_check(self.node, check)
            return None, {}, None
        status = {"pass": "passing", "warn": "warning", "fail": "critical"}.get(
            action
        ) or parse_object(body).get("Status")
        if status not in ("passing", "warning", "critical"):
            raise InvalidRequestError(400, f"Invalid check status: {status!r}")
        timer = self.catalogue.ttl.get((self.node, check))
        if timer is None:
            raise InvalidRequestError(500, f'CheckID "{check}" does not have associated TTL')
        timer[1], timer[3] = trio.current_time() + timer[0], None
        self.catalogue.set_check(
            self.node, check, status, found["Name"], found["ServiceID"], query.get("note", "")
        )
        return None, {}, None


CANONICAL_KEYS = {
    name.lower(): name
    for name in (
        "Name",
        "ID",
        "Address",
        "Port",
        "Tags",
        "Meta",
        "Weights",
        "Check",
        "Checks",
        "CheckID",
        "Status",
        "TTL",
        "Node",
        "NodeMeta",
        "DeregisterCriticalServiceAfter",
        "Service",
        "ServiceID",
        "Output",
        "Passing",
        "Warning",
    )
}


def canonical(value, keep_keys=False):
    """Return a JSON value with its keys in the spelling of the API, since Consul ignores their case.

    Keys of service and node metadata stay as they are.
    """
    if isinstance(value, list):
        return [canonical(v) for v in value]
    if not isinstance(value, dict) or keep_keys:
        return value
    out = {}
    for key, v in value.items():
        name = CANONICAL_KEYS.get(key.lower(), key)
        out[name] = canonical(v, name in ("Meta", "NodeMeta"))
    return out


def parse_object(body):
    """Parse a request body that must be a JSON object."""
    try:
        value = canonical(json.loads(body or b"{}"))
    except (ValueError, RecursionError):
        raise InvalidRequestError(400, "Request decode failed: invalid JSON") from None
    if not isinstance(value, dict):
        raise InvalidRequestError(400, "Request decode failed: expected an object")
    return value


def apply_filter(entries, expression):
    """Return the entries that match a filter: comparisons of the API's filter language, joined by
    `and`.
    """
    if not expression:
        return entries
    clauses = []
    for text in expression.split(" and "):
        clause = FILTER_CLAUSE.fullmatch(text)
        if not clause:
            raise InvalidRequestError(
                400, f"Failed to create boolean expression evaluator: {text!r}"
            )
        clauses.append(clause)

    def field_value(entry, path):
        for word in path.split("."):
            entry = entry.get(word) if isinstance(entry, dict) else None
        return entry

    def matches(entry, c):
        if c["list"]:
            return (c["word"] in (field_value(entry, c["list"]) or ())) == (c["op"] == "in")
        return (str(field_value(entry, c["field"])) == c["value"]) == (c["cmp"] == "==")

    return [e for e in entries if all(matches(e, c) for c in clauses)]
