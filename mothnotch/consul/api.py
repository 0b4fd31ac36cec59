"""Requests and responses of Consul's HTTP API, without I/O.

Sources: the public HTTP API pages on blocking queries, consistency modes, catalog, health, agent
services and checks. The structs use the API's own field names and omit the fields that are not
needed.
"""

from collections.abc import Callable
from urllib.parse import quote, urlencode

import msgspec

from mothnotch.decisions.leaf_membership.catalogue_answers import CatalogueAnswer, Instance

# The most parse errors kept of one answer, so that a wholly broken answer does not flood the log.
MAX_PARSE_ERRORS = 20
# The most decimal digits of a number in a header; Consul's are unsigned 64-bit integers.
MAX_NUMBER_DIGITS = 20
# Bytes of an error response's body that are shown.
SHOWN_BODY_BYTES = 200
# Texts in the body with which older agents report an unknown check, with status 500.
UNKNOWN_CHECK_TEXTS = (b"nknown check", b"does not have associated TTL")
# The catalogue removes a root that sends no heartbeat for this long, or for this many TTLs if that
# is longer.
MIN_DEREGISTER_AFTER_S = 60.0
DEREGISTER_AFTER_TTLS = 20


class BadAnswerError(ValueError):
    """A response that cannot be used."""

    def __init__(self, text: str, status: int = 0, retry_after_s: float = 0.0):
        """Describe the error.

        `status` is the HTTP status, or 0 if it was 200. `retry_after_s` is the delay that the
        response asks for, or 0.
        """
        super().__init__(text)
        self.status = status
        self.retry_after_s = retry_after_s


class NodeFields(msgspec.Struct):
    """The node of a health entry."""

    Node: str
    Address: str = ""


class WeightFields(msgspec.Struct):
    """The weights of a service while passing and while warning."""

    Passing: int = 1
    Warning: int = 1


class ServiceFields(msgspec.Struct):
    """The service instance of a health entry."""

    ID: str
    Service: str = ""
    Tags: list[str] | None = None
    Address: str = ""
    Port: int = 0
    Meta: dict[str, str] | None = None
    Weights: WeightFields | None = None
    CreateIndex: int = 0


class CheckFields(msgspec.Struct):
    """One check of a health entry."""

    CheckID: str
    Status: str


class HealthEntry(msgspec.Struct):
    """One entry of /v1/health/service."""

    Node: NodeFields
    Service: ServiceFields
    Checks: list[CheckFields] | None = None


class CatalogEntry(msgspec.Struct):
    """One entry of /v1/catalog/service."""

    Node: str
    ServiceID: str
    Address: str = ""
    ServiceAddress: str = ""
    ServicePort: int = 0
    ServiceTags: list[str] | None = None
    ServiceMeta: dict[str, str] | None = None
    ServiceWeights: WeightFields | None = None
    CreateIndex: int = 0


def request_target(
    path: str,
    index: int = 0,
    wait_s: float | None = None,
    mode: str = "default",
    **parameters: str | None,
) -> str:
    """Return a request target: `path` and a query string.

    `index` and `wait_s` are those of a blocking query. Parameters that are None or empty are
    omitted.
    """
    query_parameters = {}
    if index:
        query_parameters["index"] = str(index)
        if wait_s is not None:
            query_parameters["wait"] = f"{max(1, round(wait_s * 1000))}ms"
    query_parameters |= {
        name: value for name, value in parameters.items() if value is not None and value != ""
    }
    query = urlencode(query_parameters)
    if mode != "default":
        query = f"{mode}&{query}" if query else mode
    return f"{path}?{query}" if query else path


def health_path(service: str) -> str:
    """Return the path to query a service's instances with their checks."""
    return f"/v1/health/service/{quote(service, safe='')}"


def catalog_path(service: str) -> str:
    """Return the path to query a service's instances without checks."""
    return f"/v1/catalog/service/{quote(service, safe='')}"


def require_ok(status: int, headers: dict[str, str], body: bytes) -> None:
    """Raise BadAnswerError unless the status is 200; header names are in lower case."""
    if status == 200:
        return
    try:
        retry_after_s = float(headers.get("retry-after", "0"))
    except ValueError:
        retry_after_s = 0.0
    text = body[:SHOWN_BODY_BYTES].decode(errors="replace").strip()
    raise BadAnswerError(f"status {status}: {text}", status, retry_after_s)


def is_unknown_check(status: int, body: bytes) -> bool:
    """Return whether the response to a heartbeat says that the agent does not know the check."""
    if status == 404:
        return True
    return status == 500 and any(text in body for text in UNKNOWN_CHECK_TEXTS)


def _integer_header(headers, name):
    """Return a header's integer, or 0 if it is missing; raise BadAnswerError if it is invalid."""
    text = headers.get(name, "0")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise BadAnswerError(f"{name} is {text[:40]!r}, not a number")
    return int(text)


def _address(host, port):
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _weight_pair(fields):
    """Return the weights (while passing, while warning)."""
    return (fields.Passing, fields.Warning) if fields else (1, 1)


def parse_health_entry(raw: bytes) -> Instance:
    """Parse an entry of /v1/health/service; raise msgspec.MsgspecError if it is invalid."""
    entry = msgspec.json.decode(raw, type=HealthEntry)
    service = entry.Service
    return Instance(
        f"{entry.Node.Node}/{service.ID}",
        _address(service.Address or entry.Node.Address, service.Port),
        tuple(service.Tags or ()),
        service.Meta or {},
        _weight_pair(service.Weights),
        tuple((check.CheckID, check.Status) for check in entry.Checks or ()),
        service.CreateIndex,
    )


def parse_catalog_entry(raw: bytes) -> Instance:
    """Parse an entry of /v1/catalog/service; raise msgspec.MsgspecError if it is invalid."""
    entry = msgspec.json.decode(raw, type=CatalogEntry)
    return Instance(
        f"{entry.Node}/{entry.ServiceID}",
        _address(entry.ServiceAddress or entry.Address, entry.ServicePort),
        tuple(entry.ServiceTags or ()),
        entry.ServiceMeta or {},
        _weight_pair(entry.ServiceWeights),
        (),
        entry.CreateIndex,
    )


def parse_answer(
    status: int,
    headers: dict[str, str],
    body: bytes,
    agent: int,
    requested_us: int,
    mode: str = "default",
    parse_entry: Callable[[bytes], Instance] = parse_health_entry,
) -> CatalogueAnswer:
    """Parse an agent's response about a service; raise BadAnswerError if it is invalid.

    `parse_entry` parses one entry. An entry that cannot be parsed is reported in `parse_errors` and
    does not affect the others.
    """
    require_ok(status, headers, body)
    if "x-consul-index" not in headers:
        raise BadAnswerError("header X-Consul-Index is missing: not a response of the catalogue")
    try:
        entries = msgspec.json.decode(body, type=list[msgspec.Raw])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise BadAnswerError(f"body is not a JSON array: {error}") from None
    instances = []
    parse_errors = []
    for position, raw in enumerate(entries):
        try:
            instances.append(parse_entry(raw))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            parse_errors.append(f"entry {position}: {error}")
    return CatalogueAnswer(
        agent,
        requested_us,
        _integer_header(headers, "x-consul-index"),
        tuple(instances),
        mode == "consistent",
        headers.get("x-consul-knownleader", "true") != "false",
        float(_integer_header(headers, "x-consul-lastcontact")),
        headers.get("x-consul-results-filtered-by-acls") == "true",
        tuple(parse_errors[:MAX_PARSE_ERRORS]),
    )


def registration_body(
    service: str, name: str, host: str, port: int, meta: dict[str, str], ttl_s: float
) -> bytes:
    """Return the body that registers a root with a TTL check, which its heartbeats keep passing."""
    deregister_after_s = max(MIN_DEREGISTER_AFTER_S, DEREGISTER_AFTER_TTLS * ttl_s)
    return msgspec.json.encode(
        {
            "Name": service,
            "ID": name,
            "Address": host,
            "Port": port,
            "Meta": meta,
            "Check": {
                "CheckID": f"service:{name}",
                "Name": "beat",
                "TTL": f"{ttl_s:g}s",
                "Status": "passing",
                "DeregisterCriticalServiceAfter": f"{deregister_after_s:g}s",
            },
        }
    )
