"""The demo fleet: sample tables over 24 bin ranges on 8 stand-in leaves, and a root's configuration
for it.
"""

import json

import msgspec

from mothnotch.config import Config, check
from mothnotch.standins.consul import Catalogue, ConsulAgent
from mothnotch.standins.leaf import Leaf, LeafSettings
from mothnotch.standins.store import Store

CELLS, REACH, SHARDS, BIN_COUNT = 8, 2, 24, 2400
ZONES = ("lowell-main", "nashua-annex")
CONFIG = {
    "listen": ["127.0.0.1:0"],
    "roster": "roster.json5",
    "cells": CELLS,
    "reach": REACH,
    "ranges": {"from": 0, "to": BIN_COUNT, "count": SHARDS},
    "tables": {
        "stock": {
            "shard_by": "bin",
            "columns": {
                "bin": "int4",
                "item": "text",
                "lot": "text",
                "best_before": "date",
                "qty": "int4",
            },
        },
        "orders": {
            "shard_by": "bin",
            "columns": {
                "bin": "int4",
                "order_id": "text",
                "agency": "text",
                "item": "text",
                "qty": "int4",
            },
        },
        "holds": {
            "shard_by": "bin",
            "columns": {"bin": "int4", "order_id": "text", "item": "text", "qty": "int4"},
        },
    },
    "classes": {
        "order-lookup": {"aim_ms": 1000, "deadline_ms": 4000, "worth": 1, "default": True},
        "stock-search": {
            "aim_ms": 1500,
            "deadline_ms": 5000,
            "worth": 2,
            "floor": 0.8,
            "partial_worth": 0.7,
        },
        "hold-set": {
            "aim_ms": 1000,
            "deadline_ms": 4000,
            "worth": 3,
            "repeat": "keyed",
            "repeat_window_ms": 1200,
            "default": True,
        },
    },
    "tenants": {},
    "log": {"format": "json", "level": "info"},
}


def config(**changes):
    """The demo's configuration, checked."""
    found = msgspec.convert({**CONFIG, **changes}, Config, strict=True)
    errors = check(found)
    if errors:
        raise ValueError("\n".join(errors))
    return found


def create_leaves(
    network, record, store=None, seed=1, rows=250, address="127.0.0.1:0", count=CELLS, **settings
):
    """(store, leaves) of the demo fleet. Range n is held by the leaves of cells n and n + 1; leaf n
    stands in cell n, modulo the cells.
    """
    conf = config()
    store = store or Store(conf.bounds(), seed, rows)
    made = []
    for n in range(count):
        shards = frozenset(
            s for s in range(SHARDS) if any((s + j) % CELLS == n % CELLS for j in range(REACH))
        )
        made.append(
            Leaf(
                LeafSettings(f"leaf-{n}", address, ZONES[n % 2], shards, **settings),
                store,
                network,
                record,
                seed,
            )
        )
    return store, made


def with_consul(found, agent, held):
    """That configuration, its list from an agent."""
    return config(
        **{
            **msgspec.to_builtins(found),
            "roster": None,
            "consul": {"agents": [agent], "service": "stock-leaf", "held": held, "register": {}},
        }
    )


async def start_agent(network, fleet, address, nursery):
    """A stand-in Consul agent with the fleet's leaves registered at it."""
    catalogue = Catalogue()
    agent = await nursery.start(ConsulAgent(catalogue, network, address, "demo").run)
    nursery.start_soon(catalogue.run)
    for entry in fleet.roster(CELLS):
        host, _, port = entry["address"].rpartition(":")
        agent.register(
            {
                "Name": "stock-leaf",
                "ID": entry["name"],
                "Address": host,
                "Port": int(port),
                "Meta": {
                    "cell": str(entry["cell"]),
                    "zone": entry["zone"],
                    "started": f"{entry['started']:.3f}",
                },
            }
        )
    return agent


def roster_text(fleet):
    return json.dumps(fleet.roster(CELLS), indent=1)
