"""Fencing tokens of agents that restart while the store is down."""

import re
import time

from fighitch.tests.test_gateway_processes import FleetTestCase
from standins.platform_fleet import FleetProcess, wait_until

# How far the clock was ahead when the engine was claimed before.
CLOCK_AHEAD_MS = 60_000


def newest_claim(agent: FleetProcess) -> int:
    """Returns the token of the newest claim that an agent logged; 0 if there is none.

    It may be more than one above the stored token: an agent that gets no response to
    its claim reads the record again and finds its own token there.
    """
    claims = re.findall(r"event=engine_claimed .*token=(\d+) ", agent.log())
    return int(claims[-1]) if claims else 0


class RestartTests(FleetTestCase):
    """Guards against orders with a lower fencing token than before.

    Without the store, an agent that restarts takes the time of day as its token, and
    its clock may have been set back since the last claim.
    """

    def setUp(self):
        super().setUp()
        # Claims of a time when the clocks were ahead; the agents take higher tokens.
        self.tokens = []
        for engine in self.fleet.engines:
            token = round(time.time() * 1_000) + CLOCK_AHEAD_MS
            self.tokens.append(token)
            name = engine.address.replace(":", "-")
            holder = {"holder": "earlier", "token": token}
            self.fleet.store.put("engine-holders", name, holder)
        for agent in self.fleet.agents:
            agent.kill_and_restart()
        self.assertTrue(wait_until(self.are_claimed))
        self.numbers = iter(range(1_000))

    def are_claimed(self) -> bool:
        """Returns whether each agent has a claim above the stored token."""
        claims = zip(self.fleet.agents, self.tokens, strict=True)
        return all(newest_claim(agent) > token for agent, token in claims)

    def order_loads(self) -> None:
        """Sends requests for new adapters until each engine has got more orders."""
        counts = [len(engine.orders) for engine in self.fleet.engines]

        def have_orders() -> bool:
            for entry in range(len(self.fleet.entries)):
                name = f"r{next(self.numbers)}"
                self.fleet.send_request("stream", name, adapter=f"x{name}", entry=entry)
            return all(
                len(engine.orders) > count
                for engine, count in zip(self.fleet.engines, counts, strict=True)
            )

        self.assertTrue(wait_until(have_orders, 30.0))

    def assert_tokens_never_decrease(self) -> None:
        for engine in self.fleet.engines:
            tokens = [order.fields["FencingToken"] for order in engine.orders]
            self.assertEqual(tokens, sorted(tokens))

    def test_claim_is_made_again_if_the_response_to_it_is_lost(self):
        before = [newest_claim(agent) for agent in self.fleet.agents]
        self.fleet.store.lost_write_responses = len(self.fleet.agents)
        for agent in self.fleet.agents:
            agent.kill_and_restart()
        self.tokens = [token + 1 for token in before]
        self.assertTrue(wait_until(self.are_claimed))
        self.assertEqual(self.fleet.store.lost_write_responses, 0)
        stored = [
            self.fleet.store.read("engine-holders", engine.address.replace(":", "-"))[
                "token"
            ]
            for engine in self.fleet.engines
        ]
        self.assertEqual(stored, list(map(newest_claim, self.fleet.agents)))

    def test_token_without_the_store_is_not_lower_after_the_clock_was_set_back(self):
        # The lease of the earlier holder ends first.
        time.sleep(3.2)
        self.order_loads()
        self.fleet.store.down = True
        for agent in self.fleet.agents:
            agent.kill_and_restart()
        self.order_loads()
        self.assert_tokens_never_decrease()

    def test_token_is_not_lower_after_several_restarts_without_the_store(self):
        time.sleep(3.2)
        self.order_loads()
        self.fleet.store.down = True
        for _ in range(2):
            for agent in self.fleet.agents:
                agent.kill_and_restart()
            self.order_loads()
        self.fleet.store.down = False
        for agent in self.fleet.agents:
            agent.kill_and_restart()
        self.order_loads()
        self.assert_tokens_never_decrease()
