"""The deployment of a soak, drawn by seed, and the settings that its roots run with."""

import dataclasses
from dataclasses import dataclass

CELLS, REACH, SHARDS = 4, 2, 8
TENANT = "all"
MEAN_WORK_S = 0.02


@dataclass(frozen=True)
class Deployment:
    """The parameters that differ between soaks."""

    roots: int
    leaves: int
    streams: int  # most parts that a leaf accepts at once per connection
    idle_s: float  # a leaf closes a connection that is idle for this long
    cancel: bool  # whether roots may cancel parts
    stops: str  # which cancelled parts a leaf stops: "none", "queued" or "all"
    copies: bool  # whether a part may run at two leaves at once
    attempts: int
    window_s: float  # within it a leaf drops a repeat with the same key
    deadline_s: float
    drain_grace_s: float
    sockets: int = 512  # file descriptors that a root may open
    memory_mb: int = 64  # own memory that a root may use
    crowd: bool = False  # whether idle clients use up the descriptors for clients

    def settings(self, me):
        """Return the settings object of root number `me`."""
        deadline = int(self.deadline_s * 1e6)
        class_defaults = {
            "aimUs": deadline // 2,
            "deadlineUs": deadline,
            "worth": 1.0,
            "lateWorth": 0.3,
        }
        return {
            "balancers": self.roots,
            "me": me,
            "zone": "a",
            "stepUs": 5000,
            "weightSource": "off",
            "discovery": "push",
            "familyInfo": {
                "positions": CELLS,
                "reach": REACH,
                "slabs": SHARDS,
                "perCall": 8,
                "perCallWorkUs": 1000,
                "wholeAt": [1.0] * 3,
                "floorByClass": [0.5, 1.0, 1.0],
                "classPartial": [0.8, 0, 0],
                "secondStep": [0] * 3,
            },
            "lanes": [
                {"name": "read", "semantics": "pure", **class_defaults},
                {
                    "name": "hold",
                    "semantics": "token",
                    "repeatWindowUs": int(self.window_s * 1e6),
                    **class_defaults,
                },
                {"name": "book", "semantics": "side_effect", **class_defaults},
            ],
            "limits": {
                "cancel": self.cancel,
                "probes": False,
                "mayDuplicate": self.copies,
                "maxAttempts": self.attempts,
                "retryAfter": True,
                "maxRetryAfterUs": 1_000_000,
                "dialTimeoutUs": 250_000,
                "multiplex": self.streams,
                "idleCloseUs": int(self.idle_s * 1e6),
                "openCap": 400,
            },
            "rules": {
                "answerSlackUs": 20_000,
                "coldFrom": 0.25,
                "rampTimeUs": 8_000_000,
                "fallMultiple": 3.0,
                "fallUs": 2_000_000,
                "drainGraceUs": int(self.drain_grace_s * 1e6),
            },
            "tenants": [{"name": TENANT, "allowancePerS": 1000.0, "fraction": 1.0}],
            "overShareWorth": 0.1,
        }


def draw_deployment(random):
    """Return a deployment drawn from a seeded generator."""
    cancel = random.random() < 0.8
    return Deployment(
        roots=random.randint(2, 4),
        leaves=random.choice((8, 8, 12)),
        streams=random.choice((1, 2, 4, 4, 12, 32)),
        idle_s=random.choice((2.0, 4.0, 15.0)),
        cancel=cancel,
        stops=random.choice(("none", "queued", "all")),
        copies=random.random() < 0.2,
        attempts=random.choice((2, 3, 4)),
        window_s=random.choice((0.5, 0.7, 1.2)),
        deadline_s=random.choice((0.8, 1.5, 2.5)),
        drain_grace_s=0.25,
        sockets=random.choice((256, 512, 1024)),
        crowd=random.random() < 0.25,
    )


# The ranges of the platform's pages; the least memory is drawn in half of the soaks.
MEMORY_MB = (32, 192)
SOCKETS = (256, 1024)


def draw_limits(random, deployment):
    """Return the deployment with other limits of a root's memory and descriptors.

    Drawn by a generator of their own, so that the rest of earlier seeds stays as it is.
    """
    return dataclasses.replace(
        deployment,
        memory_mb=random.choice((MEMORY_MB[0], random.randint(*MEMORY_MB))),
        sockets=random.choice((SOCKETS[1], random.randint(*SOCKETS))),
    )


def expected_value(predicate, shard):
    """Return the value with which every leaf answers a part."""
    return f"{predicate}/{shard}"
