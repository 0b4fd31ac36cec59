"""Policy for registering the root at a Consul agent.

Pure: callers pass in results and the time, and get the next step. All times are in seconds.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# Number of heartbeats per TTL of the check, so that losing one has no effect.
HEARTBEATS_PER_TTL = 3
# Fraction of the heartbeat interval that is random, so that roots do not send in step.
HEARTBEAT_JITTER = 0.2
# Delay after a failure, doubled for each further one up to the heartbeat interval.
BACKOFF_S = 0.2
# Maximum number of doublings; keeps the power from growing without bound.
MAX_DOUBLINGS = 8


class StepKind(Enum):
    """The action of a step; the value is its name in the log."""

    REGISTER = "register"
    HEARTBEAT = "beat"
    DEREGISTER = "deregister"


@dataclass(slots=True, frozen=True)
class RegistrationStep:
    """A step of the registration at one agent, to be taken after a delay."""

    kind: StepKind
    agent: int
    delay_s: float


class RegistrationPolicy:
    """Keep the root registered at one agent, by heartbeats.

    Registers again if the agent lost the registration, and moves to the next agent if this one
    fails for longer than the check's TTL. A graceful shutdown removes all registrations.
    """

    def __init__(self, agents: int, first: int, ttl_s: float, random: Callable[[], float]):
        """Start with agent `first`, modulo `agents`; `random()` returns numbers from 0 to 1."""
        self.agents = agents
        self.agent = first % agents
        self.ttl_s = ttl_s
        self.random = random
        self.registered = False
        # Time of the first consecutive failure; None: the last step succeeded.
        self.failing_since_s: float | None = None
        # Number of consecutive failures.
        self.failures = 0
        # Agents at which this root is, or may be, registered.
        self.agents_to_deregister: set[int] = set()

    def next_step(self) -> RegistrationStep:
        """Return the next step."""
        kind = StepKind.HEARTBEAT if self.registered else StepKind.REGISTER
        return RegistrationStep(kind, self.agent, self._delay_s())

    def _delay_s(self):
        """Return the delay of the next step: the backoff, the heartbeat interval, or 0."""
        interval_s = self.ttl_s / HEARTBEATS_PER_TTL
        if self.failures:
            backoff_s = BACKOFF_S * 2 ** min(self.failures, MAX_DOUBLINGS)
            return min(interval_s, backoff_s) * (0.5 + 0.5 * self.random())
        if self.registered:
            return interval_s * (1 - HEARTBEAT_JITTER * self.random())
        return 0.0

    def on_success(self, step: RegistrationStep) -> None:
        """Record that a step succeeded."""
        self.failures = 0
        self.failing_since_s = None
        if step.kind is StepKind.DEREGISTER:
            self.agents_to_deregister.discard(step.agent)
        else:
            self.registered = True
            self.agents_to_deregister.add(step.agent)

    def on_failure(self, now_s: float, step: RegistrationStep, lost: bool = False) -> None:
        """Record that a step failed; `lost`: the agent does not know this root."""
        if step.kind is StepKind.REGISTER:
            # The agent may have carried it out nevertheless.
            self.agents_to_deregister.add(step.agent)
        if lost:
            self.registered = False
            self.failures = 0 if step.kind is StepKind.HEARTBEAT else self.failures + 1
            return
        self.failures += 1
        if self.failing_since_s is None:
            self.failing_since_s = now_s
        if not self.registered or now_s - self.failing_since_s >= self.ttl_s:
            self.agent = (self.agent + 1) % self.agents
            self.registered = False
            self.failing_since_s = None

    def shutdown_steps(self) -> list[RegistrationStep]:
        """Return the steps of a graceful shutdown: deregister where the root may be registered."""
        return [
            RegistrationStep(StepKind.DEREGISTER, agent, 0.0)
            for agent in sorted(self.agents_to_deregister)
        ]
