"""SQL over shards: parsing, planning over bin ranges, and merging the parts' results.

A construct that is not known to give correct results over several bin ranges is rejected with
SQLSTATE 0A000 and an error that names it. docs/sql.md lists the supported SQL.
"""
