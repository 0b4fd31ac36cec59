"""Leaf membership: the list of leaves, derived from the answers of Consul's agents in any order.

The package does no I/O. Its inputs are parsed answers, the time on two clocks and the outcomes of
the root's own connections; its outputs are list entries, doubts and log lines. Times are
microseconds on the root's monotonic clock, or seconds of the wall clock where a name ends in `_s`.

The rules (docs/consul.md gives the reason for each):

1.  Within one incarnation of the catalogue, the answer with the highest index wins, whichever agent
    gave it and whenever it arrived. An answer with a lower index changes nothing, unless it could
    be the first of a new incarnation: then the leaves that it marks as draining get no new work
    until the doubt is resolved.
2.  A new incarnation (the catalogue lost its state or was restored from a snapshot) is accepted
    only on consistent answers that were requested after the higher index was seen, and only if no
    agent still has that index. Leaves that the new incarnation does not list are kept.
3.  A leaf that an answer marks as draining gets no new work from that moment, however many leaves
    are marked.
4.  A leaf that a complete answer no longer lists is removed at once, as long as no more than a
    given share of the list is missing. Beyond that share the answer is in doubt until consistent
    answers confirm it. An answer that lists no instances, that was filtered by ACLs or that could
    not be parsed in part is no evidence that a leaf is gone. Leaves kept for one of these reasons
    stay while the root's own connections to them work, and are removed soon after these fail.
5.  Failing health checks take a leaf out of service at once; it returns once its flap penalty has
    decayed (RFC 2439). Health never takes out more than a given share of the list, nor the last
    replica of a range: beyond that, the module judges leaves by the outcomes of its own attempts.
6.  A leaf counts as a new process, which is warming up, if its address, its stated start or, where
    it states none, its registration is new. Its start is never dated earlier than the root could
    have been notified of it, whatever the clock of the leaf's machine says.

Modules: `settings`, `catalogue_answers` (messages), `instance_reading` (the meaning of one
instance's tags, metadata, weights and checks), `flap_damping`, `member` (the state of one
instance), `start_estimate`, `departures` (whether missing leaves may be removed),
`incarnation_candidate` (answers that may belong to a new incarnation), `eligibility` (which leaves
take new work), `membership` (merges all of it).
"""
