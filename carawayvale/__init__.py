"""Global traffic steering that holds when retries outgrow traffic."""

__version__ = "0.1.0"
