"""The error kinds are complete and unambiguous."""

from testtools import TestCase

from mountstand import errors


class ErrorKinds(TestCase):
    def test_every_kind_has_its_own_code_and_remedy(self) -> None:
        kinds = errors.all_error_kinds()
        concrete = [kind for kind in kinds if kind.code != "internal"]
        self.assertEqual(len({kind.code for kind in concrete}), len(concrete))
        for kind in concrete:
            self.assertNotEqual(kind.remedy, errors.MountstandError.remedy, kind.code)
