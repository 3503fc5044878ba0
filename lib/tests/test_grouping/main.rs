//! Groups of engines under lost, late and duplicated commands, network cuts, crashes and old
//! leaders.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_placement;
mod test_schedules;
mod test_situations;
mod world;
