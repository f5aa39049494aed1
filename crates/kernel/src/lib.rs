//! Registry of named services with ordered start and close.
