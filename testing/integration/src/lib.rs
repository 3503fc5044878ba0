//! Tests with real processes; see `tests/`.
