"""Shard ownership, look-ups, region limits and credits for shifts."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "blocks": (
        "AddressRange",
        "BlockTable",
        "NamedBlock",
        "RangeList",
    ),
    "credits": (
        "CapShare",
        "CreditAccount",
        "LinkDirection",
        "ShiftCreditTable",
    ),
    "limits": (
        "allot_all_quotas",
        "allot_quotas",
    ),
    "lookups": (
        "has_available_endpoint",
        "list_lookup_targets",
        "LookupTarget",
        "rotate_targets",
    ),
    "owner_table": (
        "assign_owners",
        "order_candidates",
        "Ownership",
        "OwnerTable",
        "score_candidate",
    ),
    "plan": (
        "list_blocks",
        "make_block_table",
        "make_plan",
        "make_route_sort_key",
        "RequestPolicy",
        "RoutingPlan",
    ),
    "headroom": (
        "HeadroomTable",
        "OwnerReport",
    ),
    "shards": (
        "Candidate",
        "list_shards",
        "Shard",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
