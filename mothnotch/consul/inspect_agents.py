"""Report what each agent answers about the leaves' service, to compare the agents."""

import msgspec
import trio

from mothnotch.consul import api
from mothnotch.consul.agent import AgentClient, AgentError
from mothnotch.decisions.leaf_membership.membership import LeafMembership
from mothnotch.root.core import now_us

# Timeout for all queries to one agent, so that an operator does not wait long for the report.
AGENT_TIMEOUT_S = 3.0
# The most names of other services shown if the configured one does not exist.
MAX_SHOWN_SERVICES = 20


async def inspect_agents(config, network) -> list[str]:
    """Return a report on every agent of a configuration, as lines in the configured order."""
    conf = config.consul
    settings = conf.membership(config.cells, config.reach)
    lines = {}

    async def inspect(address):
        lines[address] = await _inspect_agent(conf, settings, network, address)

    async with trio.open_nursery() as nursery:
        for address in conf.agents:
            nursery.start_soon(inspect, address)
    return [line for address in conf.agents for line in lines[address]]


async def _inspect_agent(conf, settings, network, address):
    """Return the lines about one agent."""
    agent = AgentClient.from_config(conf, address, network, "mothnotch-members")
    try:
        with trio.fail_after(AGENT_TIMEOUT_S):
            health_answer, catalog_answer, services = await _query_agent(conf, agent)
    except (AgentError, api.BadAnswerError, msgspec.MsgspecError, trio.TooSlowError) as error:
        return [f"{address}: {error or f'no answer in {AGENT_TIMEOUT_S:g} s'}"]
    finally:
        agent.close()
    lines = [
        f"{address}: index {health_answer.index}, leader "
        f"{'known' if health_answer.known_leader else 'NOT known'}, last contact "
        f"{health_answer.last_contact_ms:g} ms, {len(health_answer.instances)} of "
        f"{len(catalog_answer.instances)} instances of {conf.service!r}"
        f"{', filtered by ACLs' if health_answer.filtered else ''}"
    ]
    if conf.service not in services:
        names = ", ".join(sorted(services)[:MAX_SHOWN_SERVICES]) or "none"
        lines.append(f"  no service {conf.service!r}; known services: {names}")
    lines += [f"  parse error: {error}" for error in health_answer.parse_errors]
    return lines + _instance_lines(settings, network, health_answer)


async def _query_agent(conf, agent):
    """Return an agent's health answer, its catalog answer and its services."""

    async def get(path, **parameters):
        target = api.request_target(
            path,
            mode=conf.mode,
            dc=conf.datacenter,
            ns=conf.namespace,
            partition=conf.partition,
            **parameters,
        )
        return await agent.request("GET", target)

    status, headers, body = await get(api.health_path(conf.service), filter=conf.filter)
    health_answer = api.parse_answer(status, headers, body, 0, now_us(), conf.mode)
    status, headers, body = await get(api.catalog_path(conf.service))
    catalog_answer = api.parse_answer(
        status, headers, body, 0, 0, conf.mode, api.parse_catalog_entry
    )
    status, headers, body = await get("/v1/catalog/services")
    api.require_ok(status, headers, body)
    return health_answer, catalog_answer, msgspec.json.decode(body, type=dict[str, list[str]])


def _instance_lines(settings, network, answer):
    """Return a line for each instance: its listed state and the state that a root derives."""
    membership = LeafMembership(settings)
    membership.on_answer(now_us(), network.wall_time(), answer)
    states = membership.effective_states()
    lines = []
    for instance in answer.instances:
        member = membership.members.get(instance.name)
        description = "not usable"
        if member is not None:
            description = (
                f"cell {member.cell:3} weight {member.weight:g} state {member.admin_state}, "
                f"health {member.health}; effective state {states[instance.name]}"
            )
        lines.append(f"  {instance.name:24} {instance.address:22} {description}")
    lines += [f"  {event.text}: {event.details}" for event in membership.log_events]
    return lines
