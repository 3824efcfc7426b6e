"""Regions and failure domains: ownership, look-ups, limits, credits."""

from carawayvale.zones.blocks import BlockTable
from carawayvale.zones.blocks import NamedBlock
from carawayvale.zones.blocks import Segment
from carawayvale.zones.blocks import SegmentList
from carawayvale.zones.credits import Allowance
from carawayvale.zones.credits import CreditPurse
from carawayvale.zones.credits import Direction
from carawayvale.zones.credits import ShiftBook
from carawayvale.zones.limits import allot_document
from carawayvale.zones.limits import allot_quotas
from carawayvale.zones.lookups import has_capacity
from carawayvale.zones.lookups import list_targets
from carawayvale.zones.lookups import LookupTarget
from carawayvale.zones.lookups import rotate_targets
from carawayvale.zones.ownership import assign_owners
from carawayvale.zones.ownership import Candidate
from carawayvale.zones.ownership import list_shards
from carawayvale.zones.ownership import order_candidates
from carawayvale.zones.ownership import Ownership
from carawayvale.zones.ownership import score_candidate
from carawayvale.zones.ownership import Shard
from carawayvale.zones.plan import list_blocks
from carawayvale.zones.plan import make_plan
from carawayvale.zones.plan import make_table
from carawayvale.zones.plan import Plan
from carawayvale.zones.plan import rank_route
from carawayvale.zones.plan import Treatment
from carawayvale.zones.reports import HeadroomBook
from carawayvale.zones.reports import OwnerReport

__all__ = (
    "allot_document",
    "allot_quotas",
    "Allowance",
    "assign_owners",
    "BlockTable",
    "Candidate",
    "CreditPurse",
    "Direction",
    "has_capacity",
    "HeadroomBook",
    "list_blocks",
    "list_shards",
    "list_targets",
    "LookupTarget",
    "make_plan",
    "make_table",
    "NamedBlock",
    "order_candidates",
    "OwnerReport",
    "Ownership",
    "Plan",
    "rank_route",
    "rotate_targets",
    "score_candidate",
    "Segment",
    "SegmentList",
    "Shard",
    "ShiftBook",
    "Treatment",
)
