"""The fair limit at the door."""

from godwitway.process._budget import IngressBudget


class TestIngressBudget:
    """Tests of `IngressBudget`."""

    def test_a_flood_leaves_the_others_their_part(self):
        """When one service floods, the other still opens its fair part of flows."""
        budget = IngressBudget(1000, 0.0)
        for window in range(10):
            budget.start_batch(window * 0.11)
            passed = {"flood": 0, "quiet": 0}
            for number in range(1000):
                passed["flood"] += budget.admit_packet("flood", True)
                if number % 25 == 0:
                    passed["quiet"] += budget.admit_packet("quiet", True)
        assert passed["quiet"] == 40
        assert passed["flood"] <= 100

    def test_known_flows_always_pass(self):
        """Packets of known flows are not shed."""
        budget = IngressBudget(100, 0.0)
        assert all(budget.admit_packet("a", False) for _ in range(1000))
