"""Tests of the human-readable difference between declarations."""

import unittest

from nutmeglift import auth
from nutmeglift import declaration
from nutmeglift import declaration_diff
from nutmeglift import ids
from tests import utils


def make_account(name="bank-a", **changes):
    """Returns a client account, by default bank-a."""
    return utils.make_account(name, **changes)


class CompareTest(unittest.TestCase):
    def _lines(self, old, new):
        found = declaration_diff.compare(
            utils.make_declaration(client_accounts=old),
            utils.make_declaration(client_accounts=new),
        )
        return [change.line() for change in found]

    def test_lines(self):
        other = make_account().model_copy(
            update={"token_sha256": (auth.hash_token("x"),)}
        )
        two = make_account().model_copy(
            update={
                "token_sha256": (
                    auth.hash_token(utils.TOKEN),
                    auth.hash_token("x"),
                )
            }
        )
        b = make_account("bank-b")
        for name, old, new, lines in (
            ("nothing", (make_account(),), (make_account(),), []),
            ("order", (make_account(), b), (b, make_account()), []),
            (
                "added and removed",
                (make_account(),),
                (b,),
                ["- client_accounts bank-a", "+ client_accounts bank-b"],
            ),
            (
                "fields",
                (make_account(),),
                (make_account(priority=3, weight=2.0),),
                [
                    "~ client_accounts bank-a: priority: 0 -> 3;"
                    " weight: 1.0 -> 2.0"
                ],
            ),
            (
                "token replaced",
                (make_account(),),
                (other,),
                ["~ client_accounts bank-a: token_sha256: 1 added, 1 removed"],
            ),
            (
                "token added",
                (make_account(),),
                (two,),
                ["~ client_accounts bank-a: token_sha256: 1 added, 0 removed"],
            ),
        ):
            with self.subTest(name):
                found = self._lines(old, new)
                self.assertEqual(found, lines)
                shown = "\n".join(found)
                self.assertNotIn(auth.hash_token(utils.TOKEN), shown)

    def test_links_are_named_by_their_ends(self):
        def link(latency, *ends):
            return declaration.DomainLink(
                between=tuple(ids.FailureDomain(end) for end in ends),
                bytes_per_second=1.0,
                latency_seconds=latency,
            )

        found = declaration_diff.compare(
            declaration.Declaration(links=(link(1.0, "a", "b"),)),
            declaration.Declaration(links=(link(2.0, "b", "a"),)),
        )
        self.assertTrue(found[0].line().startswith("~ links a/b: "))

    def test_long_differences_are_truncated_and_counted(self):
        many = tuple(make_account(f"bank-{n:03d}") for n in range(150))
        changes = declaration_diff.compare(
            declaration.Declaration(),
            declaration.Declaration(client_accounts=many),
        )
        lines = declaration_diff.lines(changes)
        self.assertEqual(len(lines), declaration_diff.MAX_LINES + 1)
        self.assertEqual(lines[-1], "and 50 more changes")


if __name__ == "__main__":
    unittest.main()
