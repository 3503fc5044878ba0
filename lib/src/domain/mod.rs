//! What the daemons of one failure domain decide together.

pub mod placement;
