"""A short soak with fixed seeds; the long one is started by hand (soak.py)."""

import os
import sys
import unittest

from soak import Soak

PROGRAM = ""
SECONDS = 12


class SoakTest(unittest.TestCase):
    def test_promises_hold_beside_overlapping_faults(self):
        for seed in (1, 2, 3):
            self.assertEqual(Soak(PROGRAM, seed, SECONDS).play(), [])

    def test_promises_hold_at_nine_gateways(self):
        self.assertEqual(Soak(PROGRAM, 4, SECONDS, gateways=9).play(), [])


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
