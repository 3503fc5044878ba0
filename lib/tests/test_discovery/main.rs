//! Propagation of upstream reports, crashes and rates among daemons, also during partitions.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_crashes;
mod test_cuts;
mod test_rates;
mod test_relays;
mod world;
