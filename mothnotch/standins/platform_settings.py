"""Settings of a small deployment on the platform, for tests and measurements with stand-ins."""

CELLS = 4
REACH = 2  # cells that hold each shard


def options(**changes):
    """Return the settings as in a root's configuration, with sections merged with `changes`."""
    settings = {
        "balancers": 1,
        "me": 0,
        "zone": "a",
        "stepUs": 5000,
        "weightSource": "nominal",
        "discovery": "automatic",
        "familyInfo": {
            "positions": CELLS,
            "reach": REACH,
            "slabs": 8,
            "perCall": 16,
            "perCallWorkUs": 3000,
            "wholeAt": [1.0, 1.0],
            "floorByClass": [0.5, 1.0],
            "classPartial": [0.8, 0],
            "secondStep": [0, 0],
        },
        "lanes": [
            {
                "name": "read",
                "aimUs": 800000,
                "deadlineUs": 1500000,
                "worth": 5.0,
                "lateWorth": 0.3,
                "semantics": "pure",
            },
            {
                "name": "hold",
                "aimUs": 800000,
                "deadlineUs": 1500000,
                "worth": 1.0,
                "lateWorth": 0.1,
                "semantics": "token",
                "repeatWindowUs": 1200000,
                "group": "all",
            },
        ],
        "limits": {
            "cancel": True,
            "probes": True,
            "mayDuplicate": False,
            "maxAttempts": 3,
            "retryAfter": True,
            "maxRetryAfterUs": 2000000,
            "dialTimeoutUs": 250000,
            "multiplex": 32,
            "idleCloseUs": 15000000,
            "openCap": 60,
        },
        "rules": {
            "answerSlackUs": 20000,
            "coldFrom": 0.2,
            "rampTimeUs": 9000000,
            "fallMultiple": 3.0,
            "fallUs": 3000000,
            "drainGraceUs": 250000,
        },
        "tenants": [{"name": "t", "allowancePerS": 1000.0, "fraction": 1.0}],
        "overShareWorth": 0.05,
    }
    for name, value in changes.items():
        settings[name] = settings[name] | value if isinstance(settings.get(name), dict) else value
    return settings
