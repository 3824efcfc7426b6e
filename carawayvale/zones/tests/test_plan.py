"""Tests of the classification of requests by route, caller and method."""

from carawayvale.contracts import load_document
from carawayvale.zones import make_plan

ROUTES = (
    "[route:all]\nowner = o\nservice = s\nrank = low\npath = /",
    "[route:deep]\nowner = o\nservice = s\nrank = high\npath = /a/b",
    "[route:post]\nowner = o\nservice = s\nrank = low\npath = /a/b\n"
    "methods = POST\nidempotent = no",
    "[route:desk]\nowner = o\nservice = s\nrank = low\npath = /a\n"
    "caller = desks",
)
BASE = """\
[rank:high]
owner = o
order = 1
max_wait_s = 1

[rank:low]
owner = o
order = 2
max_wait_s = 1

[caller:desks]
owner = o
blocks = 10.20.0.0/16

[service:s]
owner = o
rank = high
"""


def classify(routes, method, path, caller="10.1.1.1"):
    """Return rank and idempotence of a request under ordered routes."""
    text = BASE + "\n".join(routes)
    plan = make_plan(load_document(text, "doc"))
    policy = plan.classify(plan.services["s"], method, path, caller)
    return policy.rank.name, policy.idempotent


class TestClassify:
    def test_most_specific_route_decides_in_any_order(self):
        for routes in (ROUTES, tuple(reversed(ROUTES))):
            assert classify(routes, "GET", "/x") == ("low", True)
            assert classify(routes, "GET", "/a/b/c") == ("high", True)
            assert classify(routes, "POST", "/a/b") == ("low", False)

    def test_caller_class_is_found_by_address(self):
        assert classify(ROUTES, "GET", "/a", "10.20.0.1") == ("low", True)
        routes = [r for r in ROUTES if "desks" in r]
        assert classify(routes, "GET", "/a", "10.9.0.1") == ("high", True)

    def test_method_decides_without_a_route(self):
        assert classify((), "GET", "/") == ("high", True)
        assert classify((), "POST", "/") == ("high", False)
