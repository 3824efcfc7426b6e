"""Steering document, settings, HTTP headers, tickets and retry rules."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "address": ("Address",),
    "clock": (
        "Clock",
        "read_boot_clock",
    ),
    "document": (
        "check_document",
        "Document",
        "load_document",
        "merge_sections",
        "parse_document",
        "parse_section",
        "RawSection",
        "Section",
        "split_sections",
    ),
    "fields": (
        "declare_field",
        "make_number_parser",
        "parse_addresses",
        "parse_blocks",
        "parse_fields",
        "parse_flag",
        "parse_name",
        "parse_names",
        "parse_text",
    ),
    "findings": (
        "Finding",
        "InvalidInput",
        "Place",
    ),
    "hashing": ("hash_text",),
    "reasons": (
        "Reason",
        "Refusal",
    ),
    "retries": (
        "AttemptResult",
        "may_retry",
        "RetryBudget",
        "RetryDetector",
    ),
    "sections": (
        "CallerClass",
        "Deployment",
        "Endpoint",
        "FailureDomain",
        "Link",
        "list_referenced_names",
        "Rank",
        "Reference",
        "Region",
        "register_kind",
        "Route",
        "Service",
        "Shift",
    ),
    "settings": (
        "BackendSettings",
        "EntrySettings",
        "format_settings",
        "load_key",
        "load_settings",
        "OperatorSettings",
        "parse_settings",
        "register_settings",
        "StoreSettings",
    ),
    "tickets": (
        "BadTicket",
        "ClaimResult",
        "decode_ticket",
        "encode_ticket",
        "issue_ticket",
        "LedgerEntry",
        "Phase",
        "RecordedResponse",
        "Ticket",
        "TicketLedger",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
