"""Learned predictor of busy periods: whether a part sent to a server now would meet one.

It follows HEIMDALL (EuroSys '25, docs/design.md), with logistic regression in place of its neural
network.
"""

import math
from collections import deque
from operator import mul

HISTORY_LENGTH = 3  # answers in a server's history; the paper found this enough

# Latency and parts in flight may only raise the predicted probability of a busy period, throughput
# may only lower it. Without these bounds a day of unusual answers taught the model the opposite; at
# one of many roots, a few dozen labels taught it that many parts in flight mean a fast server.
NOT_NEGATIVE = (0.0, math.inf)
NOT_POSITIVE = (-math.inf, 0.0)
ANY_SIGN = (-math.inf, math.inf)
WEIGHT_BOUNDS = (
    [NOT_NEGATIVE] * 2 * HISTORY_LENGTH + [NOT_POSITIVE] * HISTORY_LENGTH + [ANY_SIGN] * 2
)

LEARNING_RATE = 0.3
RELEARNING_PASSES = 12  # passes over all samples, one per turn
SAMPLES_MAX = 400  # labelled answers kept for relearning
ACCURACY_ANSWERS_MIN = 6  # labelled answers that a server needs for its accuracy to count
ACCURACY_MIN = 0.8  # a new model is learned below this accuracy
LOGIT_MAX = 30.0  # keeps exp() from overflowing


class LogisticModel:
    """Online logistic regression; inputs are min-max scaled by its initial samples."""

    def __init__(self, samples, bounds, learning_rate: float):
        """Initialize for samples [(inputs, label)]; each weight stays within its (lower, upper)."""
        columns = list(zip(*(inputs for inputs, _ in samples), strict=True))
        self.bounds = bounds
        self.learning_rate = learning_rate
        self.input_ranges = [(min(column), max(column)) for column in columns]
        self.weights = [0.0] * (len(columns) + 1)
        self.samples = [(self._scaled(inputs), label) for inputs, label in samples]

    def train_pass(self, rng) -> None:
        """Make one pass of gradient steps over the initial samples, in random order."""
        rng.shuffle(self.samples)
        for scaled, label in self.samples:
            self._gradient_step(scaled, label)

    def probability(self, inputs) -> float:
        """Return the probability of label 1."""
        return self._output(self._scaled(inputs))

    def train(self, inputs, label: int) -> None:
        """Make one gradient step on a new sample."""
        self._gradient_step(self._scaled(inputs), label)

    def _scaled(self, inputs):
        scaled = [
            _scale(value, low, high)
            for value, (low, high) in zip(inputs, self.input_ranges, strict=True)
        ]
        scaled.append(1.0)  # the input of the bias
        return scaled

    def _output(self, scaled):
        logit = sum(map(mul, self.weights, scaled))
        return 1 / (1 + math.exp(-max(-LOGIT_MAX, min(LOGIT_MAX, logit))))

    def _gradient_step(self, scaled, label):
        step = self.learning_rate * (label - self._output(scaled))
        weights = []
        for weight, value, (lower, upper) in zip(self.weights, scaled, self.bounds, strict=True):
            weight += step * value
            if weight < lower:
                weight = lower
            elif weight > upper:
                weight = upper
            weights.append(weight)
        self.weights = weights


class BusyPeriodPredictor:
    """Learns from labelled answers, and monitors its own accuracy server by server."""

    def __init__(self, rng):
        """Initialize without a model: until the first relearning all servers count as fast."""
        self.model = None
        self.next_model = None  # the model that is being learned
        self.passes_left = 0
        self.samples = deque(maxlen=SAMPLES_MAX)  # (inputs, label)
        self.accuracy_counts = {}  # server -> (correct, labelled) since the last check
        self._rng = rng

    def learn(self, attempt, label: int) -> None:
        """Add an answer; label 1 means that it met a busy period."""
        self.samples.append((attempt.inputs, label))
        if attempt.to_home:  # which normally means that it was predicted to be fast
            correct, labelled = self.accuracy_counts.get(attempt.server.id, (0, 0))
            self.accuracy_counts[attempt.server.id] = correct + (not label), labelled + 1
        if self.model:
            self.model.train(attempt.inputs, label)

    def check_accuracy(self) -> float:
        """Return the accuracy at the worst server since the last check; if low, start relearning.

        Averaged over the fleet, one slow server in a dozen would never lower the accuracy enough.
        """
        worst = min(
            (
                correct / labelled
                for correct, labelled in self.accuracy_counts.values()
                if labelled >= ACCURACY_ANSWERS_MIN
            ),
            default=1.0,
        )
        self.accuracy_counts = {}
        if worst < ACCURACY_MIN:
            self.passes_left = RELEARNING_PASSES
            self.next_model = LogisticModel(self.samples, WEIGHT_BOUNDS, LEARNING_RATE)
        return worst

    def relearn_pass(self) -> bool:
        """Make one pass of a relearning; return whether there are more to make.

        The new model takes over after the last pass. All passes in one turn would block the root
        for longer than a part takes.
        """
        self.next_model.train_pass(self._rng)
        self.passes_left -= 1
        if not self.passes_left:
            self.model = self.next_model
            self.next_model = None
        return self.next_model is not None


def _scale(value, low, high):
    if high <= low:
        return 0.0
    if value <= low:
        return 0.0
    if value >= high:
        return 1.0
    return (value - low) / (high - low)
