"""Tests of ``simulation_run``, ``baselines`` and ``report`` in ``benchmarks``."""

import unittest
from dataclasses import replace

from benchmarks.report import evaluate_targets, group_results
from benchmarks.simulation_run import (
    ARMS,
    BASELINES,
    FIGHITCH,
    Case,
    Figures,
    RankFigures,
    run_case,
)
from benchmarks.workload import RANKS, Phases

SHORT = Phases(measured_from=0.0, event_at=1.0, event_until=2.0, end=3.0)


def run_short_case(arm, scenario="calm"):
    return run_case(Case("association", scenario, arm, 1, SHORT))[1]


class RunTests(unittest.TestCase):
    def test_every_arm_is_deterministic(self):
        """Guards against figures that differ between runs of the same code and seed."""
        for arm in ARMS:
            with self.subTest(arm=arm):
                first, second = (
                    replace(run_short_case(arm), run_seconds=0.0) for _ in range(2)
                )
                self.assertEqual(first, second)

    def test_every_arm_gets_the_same_requests(self):
        """Guards against comparing arms under different loads."""
        found = [
            tuple(figures.ranks[rank].requests for rank in RANKS)
            for figures in map(run_short_case, ARMS)
        ]
        self.assertEqual(len(set(found)), 1)

    def test_fighitch_arm_answers_within_the_store_limits(self):
        """Guards against a simulation in which the cores do not answer requests."""
        figures = run_short_case(FIGHITCH)
        self.assertGreater(figures.ranks[0].in_time, 0.5)
        self.assertEqual(figures.store_violations, 0)

    def test_faults_do_not_stop_a_run(self):
        """Guards against effects that the simulation cannot execute after a fault."""
        for scenario in ("cold-restart", "zone-lost", "object-api-down"):
            with self.subTest(scenario=scenario):
                self.assertEqual(run_short_case(FIGHITCH, scenario).store_violations, 0)


def build_figures(in_target, *, stalls=0.0, violations=0, efficiency=0.5):
    ranks = {rank: RankFigures(in_target=in_target) for rank in RANKS}
    return Figures(
        ranks,
        stall_seconds_per_1000=stalls,
        batch_efficiency=efficiency,
        store_violations=violations,
    )


class CheckTests(unittest.TestCase):
    def check_results(self, fighitch, other, scenario="batch-flood-10x"):
        pairs = [(FIGHITCH, fighitch), *((arm, other) for arm in BASELINES)]
        results = group_results(
            (Case("association", scenario, arm, 1, SHORT), item) for arm, item in pairs
        )
        return {check.figure: check.is_met for check in evaluate_targets(results)}

    def test_figures_at_the_target_are_met(self):
        found = self.check_results(
            build_figures(0.999, stalls=20.0), build_figures(0.5, stalls=100.0)
        )
        self.assertTrue(all(found.values()), found)

    def test_figures_beyond_the_target_are_missed(self):
        """Guards against a missed target that is reported as met."""
        fighitch = build_figures(0.98, stalls=20.1, violations=1, efficiency=0.4)
        found = self.check_results(fighitch, build_figures(0.5, stalls=100.0))
        self.assertFalse(any(found.values()), found)
