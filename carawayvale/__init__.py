"""Global traffic steering that remains stable during retry storms."""

__version__ = "0.1.0"
