"""The demo fleet: sample tables in 24 bin ranges on 8 stand-in leaves, and the configuration of a
root for them.
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
    """Return the demo configuration with some keys changed; raise ValueError if it is invalid."""
    changed = msgspec.convert({**CONFIG, **changes}, Config, strict=True)
    errors = check(changed)
    if errors:
        raise ValueError("\n".join(errors))
    return changed


def create_leaves(
    network, record, store=None, seed=1, rows=250, address="127.0.0.1:0", count=CELLS, **settings
):
    """Return (store, leaves) of the demo fleet; `record` receives what happens at the leaves.

    Leaf n is in cell n; range n is held by the leaves of the cells n and n + 1. Cells are numbered
    modulo CELLS.
    """
    demo_config = config()
    store = store or Store(demo_config.bounds(), seed, rows)
    leaves = []
    for index in range(count):
        shards = frozenset(
            shard
            for shard in range(SHARDS)
            if any((shard + offset) % CELLS == index % CELLS for offset in range(REACH))
        )
        leaves.append(
            Leaf(
                LeafSettings(f"leaf-{index}", address, ZONES[index % 2], shards, **settings),
                store,
                network,
                record,
                seed,
            )
        )
    return store, leaves


def with_consul(base, agent, cache_path):
    """Return the configuration with a Consul agent as the source of the endpoint list."""
    return config(
        **{
            **msgspec.to_builtins(base),
            "roster": None,
            "consul": {
                "agents": [agent],
                "service": "stock-leaf",
                "held": cache_path,
                "register": {},
            },
        }
    )


async def start_agent(network, fleet, address, nursery):
    """Start a stand-in Consul agent, register the leaves of the fleet with it, and return it."""
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
    """Return the roster of the fleet as JSON."""
    return json.dumps(fleet.roster(CELLS), indent=1)
