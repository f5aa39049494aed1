//! HTTP interfaces for callers and operators.
