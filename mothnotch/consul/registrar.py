"""The root's own registration in Consul: created, kept passing by heartbeats, removed on shutdown.

`mothnotch.decisions.registration_policy` decides on each step; this module carries it out.
"""

from collections.abc import Callable

import trio

from mothnotch.consul import api
from mothnotch.consul.agent import AgentClient, AgentError
from mothnotch.decisions.registration_policy import (
    RegistrationPolicy,
    RegistrationStep,
    StepKind,
)

# Timeout of one step; an agent that exceeds it counts as failed.
STEP_TIMEOUT_S = 2.0
# Timeout of all steps of a shutdown, which does not wait longer for unreachable agents.
SHUTDOWN_TIMEOUT_S = 1.0


class Registrar:
    """Maintains the registration of one root."""

    def __init__(
        self,
        conf,
        root_index: int,
        name: str,
        network,
        log,
        random: Callable[[], float],
        get_address: Callable[[], tuple[str, int]],
        get_extra_meta: Callable[[], dict[str, str]] = dict,
    ):
        """Register root `root_index` as `name`.

        `conf` is a ConsulConfig with `register`. `get_address()` returns the (host, port) at which
        the root serves, `get_extra_meta()` the metadata to register in addition to the configured.
        """
        self._conf = conf
        self._name = name
        self._log = log
        self._get_address = get_address
        self._get_extra_meta = get_extra_meta
        self._agents = [
            AgentClient.from_config(conf, address, network, f"mothnotch/{root_index}")
            for address in conf.agents
        ]
        self._policy = RegistrationPolicy(len(conf.agents), root_index, conf.register.ttl_s, random)

    async def run(self) -> None:
        """Maintain the registration until cancelled, then remove it within `SHUTDOWN_TIMEOUT_S`."""
        try:
            while True:
                step = self._policy.next_step()
                await trio.sleep(step.delay_s)
                await self._perform(step)
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(SHUTDOWN_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    for step in self._policy.shutdown_steps():
                        nursery.start_soon(self._perform, step)
            for agent in self._agents:
                agent.close()

    async def _perform(self, step):
        address = self._conf.agents[step.agent]
        try:
            with trio.move_on_after(STEP_TIMEOUT_S) as scope:
                is_known = await self._put(step)
            if scope.cancelled_caught:
                raise AgentError(f"{address}: no answer in {STEP_TIMEOUT_S:g} s")
        except (AgentError, api.BadAnswerError) as error:
            if not self._policy.failures:
                self._log.warning(
                    "a step of the registration failed", step=step.kind.value, error=str(error)
                )
            self._policy.on_failure(trio.current_time(), step)
            return
        if not is_known:
            self._policy.on_failure(trio.current_time(), step, lost=True)
            self._log.warning(
                "the agent lost the registration; the root registers again", agent=address
            )
            return
        self._policy.on_success(step)
        if step.kind is StepKind.REGISTER:
            self._log.info("registered", name=self._name, agent=address)

    async def _put(self, step: RegistrationStep) -> bool:
        """Send a step's request; return False if the agent does not know a heartbeat's check.

        Raise BadAnswerError or AgentError if the request fails otherwise.
        """
        path, body = self._request(step)
        target = api.request_target(
            path, dc=None, ns=self._conf.namespace, partition=self._conf.partition
        )
        status, headers, response_body = await self._agents[step.agent].request("PUT", target, body)
        if step.kind is StepKind.HEARTBEAT and api.is_unknown_check(status, response_body):
            return False
        api.require_ok(status, headers, response_body)
        return True

    def _request(self, step):
        """Return the (path, body) of a step's request."""
        if step.kind is StepKind.REGISTER:
            host, port = self._get_address()
            body = api.registration_body(
                self._conf.register.service,
                self._name,
                host,
                port,
                self._conf.register.meta | self._get_extra_meta(),
                self._conf.register.ttl_s,
            )
            return "/v1/agent/service/register", body
        if step.kind is StepKind.HEARTBEAT:
            path = f"/v1/agent/check/update/service:{self._name}"
            return path, b'{"Status": "passing", "Output": "serving"}'
        return f"/v1/agent/service/deregister/{self._name}", b""
