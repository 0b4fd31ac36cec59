"""The top level of the configuration, and the settings that other packages derive from it."""

from mothnotch.config.conversion import (
    build_limits,
    build_query_class,
    build_rules,
    microseconds,
)
from mothnotch.config.discovery_sections import ConsulConfig, PeersConfig
from mothnotch.config.sections import (
    AuthConfig,
    ClassConfig,
    FrontConfig,
    LeavesConfig,
    LimitsConfig,
    LogConfig,
    MemoryConfig,
    Ranges,
    RootConfig,
    RulesConfig,
    TableConfig,
)
from mothnotch.config.strict import Strict
from mothnotch.decisions.interface import Settings
from mothnotch.decisions.request_classes import ClassKind
from mothnotch.leaves.pool import PoolSettings
from mothnotch.sql.schema import TYPE_NAMES, Schema, Table

# Settings requires a value, which is not used when leaves speak the PostgreSQL protocol.
PARTS_PER_CALL = 16


class Config(Strict):
    """The configuration of a root."""

    listen: list[str]
    tables: dict[str, TableConfig]
    ranges: Ranges
    cells: int
    reach: int
    classes: dict[str, ClassConfig]
    roster: str | None = None
    consul: ConsulConfig | None = None
    seed: int = 1
    tenants: dict[str, float] = {}
    over_share_worth: float = 1.0
    root: RootConfig = RootConfig()
    limits: LimitsConfig = LimitsConfig()
    rules: RulesConfig = RulesConfig()
    auth: AuthConfig = AuthConfig()
    front: FrontConfig = FrontConfig()
    leaves: LeavesConfig = LeavesConfig()
    memory: MemoryConfig = MemoryConfig()
    log: LogConfig = LogConfig()
    peers: PeersConfig | None = None
    call_work_ms: float = 0.0
    weighted: bool = False

    def settings(self) -> Settings:
        """Return the settings of the decisions package."""
        return Settings(
            root_count=self.root.roots,
            root_index=self.root.me,
            zone=self.root.zone,
            classes={
                name: build_query_class(name, config) for name, config in self.classes.items()
            },
            tenant_quotas_qps=self.tenants,
            over_quota_weight=self.over_share_worth,
            cell_count=self.cells,
            cells_per_shard=self.reach,
            call_overhead_us=microseconds(self.call_work_ms),
            parts_per_call=PARTS_PER_CALL,
            must_subscribe=False,
            has_endpoint_weights=self.weighted,
            tick_us=microseconds(self.root.tick_ms),
            limits=build_limits(self.limits, self.leaves),
            rules=build_rules(self.rules),
            prices={},
        )

    def bounds(self) -> tuple[int, ...]:
        """Return the lower bounds of the ranges in order, then the end of the last range."""
        return self.ranges.all_bounds()

    def schema(self) -> Schema:
        """Return the sharded tables."""
        return Schema(
            {
                name: Table(
                    name,
                    {column: TYPE_NAMES[kind.lower()] for column, kind in table.columns.items()},
                    table.shard_by,
                )
                for name, table in self.tables.items()
            },
            self.bounds(),
        )

    def pool(self) -> PoolSettings:
        """Return the settings of the connection pool to the leaves."""
        return PoolSettings(
            user=self.leaves.user,
            database=self.leaves.database,
            password=self.leaves.password,
            max_connections=self.leaves.most_connections,
            connect_timeout_s=self.leaves.connect_timeout_ms / 1000,
            idle_s=self.leaves.idle_s,
            message_limit=self.leaves.message_limit,
        )

    def class_kinds(self) -> dict[str, ClassKind]:
        """Return which statements each class accepts, by class name."""
        return {
            name: ClassKind(takes_writes=config.writes, is_default=config.default)
            for name, config in self.classes.items()
        }
