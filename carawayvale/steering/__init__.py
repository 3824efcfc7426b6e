"""Decisions on requests: routing, placement, admission, rates, health."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "admission": ("EndpointQueue",),
    "body_limit": ("EndpointBodyLimit",),
    "crash_records": (
        "CrashRecordQueue",
        "RecordBatch",
    ),
    "departures": ("Departures",),
    "expected_waits": (
        "choose_candidates",
        "ExpectedWait",
        "ExpectedWaits",
        "parse_wait",
    ),
    "fair_shares": (
        "FairShares",
        "find_weights",
    ),
    "freshness": (
        "Freshness",
        "LinkDelay",
        "Reading",
    ),
    "full_endpoints": ("FullEndpoints",),
    "health": (
        "EndpointHealth",
        "HealthSignal",
    ),
    "load_reports": (
        "EndpointLoad",
        "LoadReport",
        "parse_load",
    ),
    "organisations": (
        "Identified",
        "intersect_regions",
        "KeyTable",
        "Rejected",
        "RejectionReason",
    ),
    "placement": (
        "group_by_region",
        "ObjectPlacement",
        "order_endpoints",
        "score_endpoint",
    ),
    "planned_stops": (
        "plan_stop",
        "PlannedStop",
    ),
    "quarantine": (
        "Quarantine",
        "SuspectRequest",
    ),
    "queued_request": (
        "QueueClass",
        "QueuedRequest",
        "Rejection",
    ),
    "quota_accounts": (
        "QuotaAccount",
        "QuotaToken",
    ),
    "quota_buckets": (
        "Grant",
        "QuotaBucket",
        "QuotaLimit",
        "QuotaRules",
    ),
    "quota_owners": (
        "Handover",
        "QuotaOwner",
        "QuotaOwnership",
    ),
    "rank_balance": ("RankBalance",),
    "rates": (
        "ColdRateLimit",
        "FleetRetryBudget",
        "ShiftLimit",
        "WindowCounter",
    ),
    "reachability": (
        "choose_probes",
        "ProbeRound",
        "Reachability",
        "ReachabilityChange",
    ),
    "region_shares": ("RegionShares",),
    "repeats": (
        "RepeatPolicy",
        "start_repeat",
    ),
    "routing": (
        "choose_weighted_service",
        "RouteTable",
    ),
    "service_times": ("ServiceTimes",),
    "spill": ("SpillPolicy",),
    "stated_limits": (
        "StatedLimit",
        "StatedLimits",
    ),
    "warm_up": ("WarmUpChoices",),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
