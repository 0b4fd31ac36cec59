"""Dispatches each event to the component that decides on it, and collects the actions.

The normal path follows HEIMDALL (EuroSys '25, docs/design.md): a part goes to its home, the first
replica in hash order, unless a learned predictor expects the home to be slow and another replica
not. Everything else protects this path; comments state against which failures.
"""

import random
from collections.abc import Iterable

from mothnotch.decisions.balancer.admission import Admission
from mothnotch.decisions.balancer.answers import Answers
from mothnotch.decisions.balancer.arrivals import Arrivals
from mothnotch.decisions.balancer.attempt_results import AttemptResults
from mothnotch.decisions.balancer.discovery import Discovery
from mothnotch.decisions.balancer.placement import Placement
from mothnotch.decisions.balancer.predictor import BusyPeriodPredictor
from mothnotch.decisions.balancer.quarantine import KeyQuarantine
from mothnotch.decisions.balancer.query_times import QueryTimes
from mothnotch.decisions.balancer.records import OpenQueries
from mothnotch.decisions.balancer.relearning import Relearning
from mothnotch.decisions.balancer.retries import Retries
from mothnotch.decisions.balancer.retry_limits import RetryLimits
from mothnotch.decisions.balancer.sending import Sender
from mothnotch.decisions.balancer.statistics import FleetMeans
from mothnotch.decisions.balancer.stuck_attempts import StuckAttempts
from mothnotch.decisions.balancer.tenant_quotas import TenantQuotas
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.balancer.work_estimates import WorkEstimates
from mothnotch.decisions.interface import (
    AttemptEnded,
    ClientDisconnected,
    PartArrived,
    QueryArrived,
    SetTimer,
    Settings,
    WatchEvent,
)


class Balancer:
    """The decisions of one root; each component owns its own state."""

    def __init__(self, settings: Settings, seed):
        """Initialize for these settings; all random draws derive from the seed."""
        self.settings = settings
        self.longest_objective_us = max(
            query_class.latency_objective_us for query_class in settings.classes.values()
        )
        self.turn = turn = Turn()
        rng = random.Random(seed)
        fleet = FleetMeans()
        quarantine = KeyQuarantine()
        quotas = TenantQuotas(settings)
        self.queries = OpenQueries()
        self.work_estimates = WorkEstimates(self.longest_objective_us)
        self.retry_limits = RetryLimits(settings)
        self.predictor = BusyPeriodPredictor(rng)
        Relearning(turn, self.predictor, settings.tick_us)
        self.discovery = Discovery(turn, settings, rng, fleet)
        self.placement = Placement(
            turn, settings, self.discovery, self.predictor, self.longest_objective_us
        )
        answers = Answers(turn, settings, self.queries)
        self.sender = Sender(turn, settings, self.placement, answers, self.retry_limits, fleet)
        StuckAttempts(turn, settings, self.placement, self.sender, self.retry_limits, fleet)
        admission = Admission(
            turn,
            settings,
            self.placement,
            answers,
            self.sender,
            quarantine,
            quotas,
            self.work_estimates,
        )
        self.arrivals = Arrivals(
            turn,
            settings,
            self.queries,
            QueryTimes(settings, quotas),
            self.work_estimates,
            self.retry_limits,
            admission,
            answers,
        )
        retries = Retries(turn, self.placement, answers, self.sender, self.retry_limits, quarantine)
        results = AttemptResults(
            turn, self.placement, self.predictor, answers, self.sender, retries, quarantine
        )
        self.handlers = {
            WatchEvent: self.discovery.on_watch_event,
            QueryArrived: self.arrivals.on_query_arrived,
            PartArrived: self.arrivals.on_part_arrived,
            AttemptEnded: results.on_attempt_ended,
            ClientDisconnected: answers.on_client_disconnected,
        }

    @property
    def servers(self) -> dict:
        """The known servers, by id."""
        return self.discovery.servers

    @property
    def actions(self) -> list:
        """The actions of the current turn so far; after an error, those decided before it."""
        return self.turn.actions

    def handle(self, now_us: int, events: Iterable) -> list:
        """Return the actions to take after these events, in order.

        Events are consumed from `events` one at a time, so that after an error the caller can tell
        which event caused it.
        """
        turn = self.turn
        turn.begin(now_us)
        self.arrivals.begin_turn()
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        turn.timers.run_due(now_us)
        self.arrivals.begin_queries()
        delay_us = turn.timers.wake_up_delay_us(now_us)
        if delay_us is not None:
            turn.emit(SetTimer(0, delay_us))
        return turn.actions
