"""Steering document, settings, HTTP headers, tickets and retry rules."""

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import Clock
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.contracts.document import check_document
from carawayvale.contracts.document import Document
from carawayvale.contracts.document import load_document
from carawayvale.contracts.document import merge_sections
from carawayvale.contracts.document import parse_document
from carawayvale.contracts.document import parse_section
from carawayvale.contracts.document import RawSection
from carawayvale.contracts.document import Section
from carawayvale.contracts.document import split_sections
from carawayvale.contracts.fields import declare_field
from carawayvale.contracts.fields import make_number_parser
from carawayvale.contracts.fields import parse_address
from carawayvale.contracts.fields import parse_addresses
from carawayvale.contracts.fields import parse_blocks
from carawayvale.contracts.fields import parse_fields
from carawayvale.contracts.fields import parse_flag
from carawayvale.contracts.fields import parse_name
from carawayvale.contracts.fields import parse_names
from carawayvale.contracts.fields import parse_text
from carawayvale.contracts.findings import Finding
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.findings import Place
from carawayvale.contracts.hashing import hash_text
from carawayvale.contracts.reasons import Reason
from carawayvale.contracts.reasons import Refusal
from carawayvale.contracts.retries import AttemptResult
from carawayvale.contracts.retries import may_retry
from carawayvale.contracts.retries import RetryBudget
from carawayvale.contracts.retries import RetryDetector
from carawayvale.contracts.sections import CallerClass
from carawayvale.contracts.sections import Deployment
from carawayvale.contracts.sections import Endpoint
from carawayvale.contracts.sections import FailureDomain
from carawayvale.contracts.sections import Link
from carawayvale.contracts.sections import list_referenced_names
from carawayvale.contracts.sections import Rank
from carawayvale.contracts.sections import Reference
from carawayvale.contracts.sections import Region
from carawayvale.contracts.sections import register_kind
from carawayvale.contracts.sections import Route
from carawayvale.contracts.sections import Service
from carawayvale.contracts.sections import Shift
from carawayvale.contracts.settings import BackendSettings
from carawayvale.contracts.settings import EntrySettings
from carawayvale.contracts.settings import format_settings
from carawayvale.contracts.settings import load_key
from carawayvale.contracts.settings import load_settings
from carawayvale.contracts.settings import OperatorSettings
from carawayvale.contracts.settings import parse_settings
from carawayvale.contracts.settings import register_settings
from carawayvale.contracts.settings import StoreSettings
from carawayvale.contracts.tickets import BadTicket
from carawayvale.contracts.tickets import ClaimResult
from carawayvale.contracts.tickets import decode_ticket
from carawayvale.contracts.tickets import encode_ticket
from carawayvale.contracts.tickets import issue_ticket
from carawayvale.contracts.tickets import LedgerEntry
from carawayvale.contracts.tickets import Phase
from carawayvale.contracts.tickets import RecordedResponse
from carawayvale.contracts.tickets import Ticket
from carawayvale.contracts.tickets import TicketLedger

__all__ = (
    "Address",
    "AttemptResult",
    "BackendSettings",
    "BadTicket",
    "CallerClass",
    "check_document",
    "ClaimResult",
    "Clock",
    "declare_field",
    "decode_ticket",
    "Deployment",
    "Document",
    "encode_ticket",
    "Endpoint",
    "EntrySettings",
    "FailureDomain",
    "Finding",
    "format_settings",
    "hash_text",
    "InvalidInput",
    "issue_ticket",
    "LedgerEntry",
    "Link",
    "list_referenced_names",
    "load_document",
    "load_key",
    "load_settings",
    "make_number_parser",
    "may_retry",
    "merge_sections",
    "OperatorSettings",
    "parse_address",
    "parse_addresses",
    "parse_blocks",
    "parse_document",
    "parse_fields",
    "parse_flag",
    "parse_name",
    "parse_names",
    "parse_section",
    "parse_settings",
    "parse_text",
    "Phase",
    "Place",
    "Rank",
    "RawSection",
    "read_boot_clock",
    "Reason",
    "RecordedResponse",
    "Reference",
    "Refusal",
    "Region",
    "register_kind",
    "register_settings",
    "RetryBudget",
    "RetryDetector",
    "Route",
    "Section",
    "Service",
    "Shift",
    "split_sections",
    "StoreSettings",
    "Ticket",
    "TicketLedger",
)
