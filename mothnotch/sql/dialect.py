"""The parser library's PostgreSQL dialect, with one correction."""

from sqlglot import TokenType
from sqlglot.dialects.postgres import Postgres


class Dialect(Postgres):
    """PostgreSQL without dollar-quoted strings.

    The library reads `$1,$2` as the start of a dollar-quoted string with the tag `1,`. With dollar
    quoting disabled, a dollar-quoted string is a syntax error; a quoted string can replace it.
    """

    class Tokenizer(Postgres.Tokenizer):
        HEREDOC_STRINGS = []
        SINGLE_TOKENS = {**Postgres.Tokenizer.SINGLE_TOKENS, "$": TokenType.PARAMETER}
