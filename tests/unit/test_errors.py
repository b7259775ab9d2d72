"""The error kinds are complete, unambiguous and documented."""

from pathlib import Path

from testtools import TestCase

import mountstand.engines.http_backend
import mountstand.tenants.errors  # noqa: F401 (likewise)
from mountstand import errors

TABLE = Path(__file__).parents[2] / "docs" / "operators" / "errors.md"


class ErrorKinds(TestCase):
    def test_every_kind_has_its_own_code_and_remedy(self) -> None:
        kinds = errors.all_error_kinds()
        concrete = [kind for kind in kinds if kind.code != "internal"]
        self.assertEqual(len({kind.code for kind in concrete}), len(concrete))
        for kind in concrete:
            self.assertNotEqual(kind.remedy, errors.MountstandError.remedy, kind.code)

    def test_the_operators_table_is_complete(self) -> None:
        text = TABLE.read_text(encoding="utf-8")
        for kind in errors.all_error_kinds():
            row = (
                f"| `{kind.code}` | {kind.http_status} | {kind.default_executed.value} "
                f"| {kind.title} | {kind.remedy} |"
            )
            self.assertIn(row, text)
