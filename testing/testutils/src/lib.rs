//! Fixtures.
