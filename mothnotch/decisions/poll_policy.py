"""Schedule the polling of Consul agents: which agent, which index, how long and when.

Pure: callers pass in results and the time, and get the next poll. Follows the rules for blocking
queries in Consul's API documentation: restart at index 0 if the index is 0 or decreases, and add
jitter to waits. All times are in seconds.
"""

from collections.abc import Callable
from dataclasses import dataclass

# Fraction of the wait that is random for each poll, so that roots do not poll in step.
WAIT_JITTER = 0.25
# Consul itself extends the wait by up to 1/16, as jitter.
CONSUL_WAIT_FACTOR = 17 / 16
# An agent has failed if its answer takes this much longer than the longest wait.
ANSWER_SLACK_S = 2.0
# Maximum number of times the slack is doubled, once after each round in which every agent failed.
# If all agents are slow, only a longer timeout yields a list.
MAX_DOUBLINGS = 2
# Number of answers accepted in a burst before polls are delayed.
ANSWER_BURST = 20.0
# Sustained rate of answers: a catalogue that changes constantly is not polled faster than its
# changes can be applied.
ANSWERS_PER_S = 10.0
# Upper bound on the retry delay that an agent may request.
MAX_RETRY_AFTER_S = 30.0
# Maximum random delay after an answer without progress, so that it is not repeated in a busy loop.
MAX_NO_PROGRESS_DELAY_S = 0.5


@dataclass(slots=True, frozen=True)
class Poll:
    """A poll of one agent."""

    agent: int
    # The agent answers once its index is past this one; 0: at once.
    index: int
    # Maximum time that the agent waits for a change.
    wait_s: float
    # Time after which the agent has failed if it has not answered.
    timeout_s: float
    # Delay before the poll.
    delay_s: float


class PollPolicy:
    """Schedule the polls of one watch over several agents, one agent at a time.

    When all agents have failed in a row (`all_agents_failed`), the caller reports the failure and
    waits for the balancer's Subscribe.
    """

    def __init__(self, agents: int, first: int, wait_s: float, random: Callable[[], float]):
        """Start with agent `first`, modulo `agents`; `random()` returns numbers from 0 to 1."""
        self.agents = agents
        self.agent = first % agents
        self.wait_s = wait_s
        self.random = random
        self.index = 0
        # Number of consecutive failures.
        self.failures = 0
        # Token bucket that limits the rate of answers.
        self.tokens = ANSWER_BURST
        self.tokens_updated_s = 0.0
        # By agent: the earliest time of its next poll, from the retry delay it requested.
        self.not_before_s = [0.0] * agents
        self.delay_s = 0.0

    def next_poll(self, now_s: float) -> Poll:
        """Return the next poll."""
        wait_s = self.wait_s * (1 - WAIT_JITTER * self.random())
        doublings = min(self.failures // self.agents, MAX_DOUBLINGS)
        longest_wait_s = wait_s * CONSUL_WAIT_FACTOR if self.index else 0.0
        timeout_s = longest_wait_s + ANSWER_SLACK_S * 2**doublings
        delay_s = max(self.delay_s, self.not_before_s[self.agent] - now_s, 0.0)
        self.delay_s = 0.0
        return Poll(self.agent, self.index, wait_s, timeout_s, delay_s)

    def on_answer(self, now_s: float, index: int) -> None:
        """Record an answer of the current agent, with its index."""
        self.failures = 0
        went_back = index < self.index
        self.index = 0 if went_back or index < 1 else index
        self.tokens = min(
            ANSWER_BURST, self.tokens + (now_s - self.tokens_updated_s) * ANSWERS_PER_S
        )
        self.tokens_updated_s = now_s
        self.tokens -= 1
        if self.tokens < 0:
            self.delay_s = -self.tokens / ANSWERS_PER_S
        if not self.index or went_back:
            self.delay_s = max(self.delay_s, MAX_NO_PROGRESS_DELAY_S * self.random())

    def on_failure(self, now_s: float, retry_after_s: float = 0.0) -> None:
        """Record that the current agent failed, and continue with the next one at index 0."""
        self.failures += 1
        retry_after_s = min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s))
        self.not_before_s[self.agent] = now_s + retry_after_s
        self.agent = (self.agent + 1) % self.agents
        self.index = 0

    @property
    def all_agents_failed(self) -> bool:
        """Whether every agent has failed since the last answer, in one or more full rounds."""
        return self.failures > 0 and self.failures % self.agents == 0
