//! Stand-ins of the platform, the workers and the callers for tests.
