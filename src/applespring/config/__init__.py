"""Loads a configuration document into a `Fleet`, or into errors with lines."""

from applespring.config.diagnostic import Diagnostic
from applespring.config.document import LoadResult, load_document
from applespring.config.parse import DOCUMENT_MAX_BYTES

__all__ = ["DOCUMENT_MAX_BYTES", "Diagnostic", "LoadResult", "load_document"]
