"""Tests of the fingerprints of requests."""

from dataclasses import replace

import pytest

from carawayvale.gateway.http_messages import Request

REQUEST = Request(
    "POST", "/a?b=1", ((b"host", b"h.example"), (b"cookie", b"c")), b"x", 0.0
)


class TestFingerprints:
    def test_id_deadline_and_time_do_not_count(self):
        headers = ((b"x-request-id", b"2"), (b"x-deadline-ms", b"9"))
        again = replace(
            REQUEST, headers=REQUEST.headers + headers, arrived_s=9.0
        )
        assert again.fingerprint == REQUEST.fingerprint

    def test_host_counts_without_its_case(self):
        again = replace(
            REQUEST, headers=((b"host", b"H.example"), (b"cookie", b"c"))
        )
        assert again.fingerprint == REQUEST.fingerprint

    @pytest.mark.parametrize(
        "change",
        (
            {"method": "PUT"},
            {"target": "/a?b=2"},
            {"target": "/a"},
            {"body": b"y"},
            {"body": b""},
            {"headers": ((b"host", b"i.example"), (b"cookie", b"c"))},
            {"headers": ((b"host", b"h.example"),)},
            {"headers": ((b"host", b"h.example"), (b"authorization", b"c"))},
        ),
    )
    def test_request_of_another_caller_or_content_differs(self, change):
        other = replace(REQUEST, **change)
        assert other.fingerprint != REQUEST.fingerprint

    def test_fingerprint_is_made_once(self):
        assert REQUEST.fingerprint is REQUEST.fingerprint
