//! An operator that sends one very large configuration, and a usual one after it.

use std::{sync::Arc, time::Duration};

use crate::{Setup, routes};

const LARGE_ROUTES: usize = 30_000;
const USUAL_ROUTES: usize = 118;

/// Returns whether a usual configuration stays without an acknowledgement; `None` if the case could
/// not run.
pub fn run(setup: &Setup) -> Option<bool> {
    let record = Arc::clone(&setup.record);
    let first = routes::config(1, USUAL_ROUTES);
    let platform = crate::start_platform_with(setup, 1, 3, &first)?;
    if setup.trouble {
        let large = routes::config(2, LARGE_ROUTES);
        let is_acked = platform.configure(&large, Duration::from_secs(20));
        record.say(&format!(
            "version 2, {LARGE_ROUTES} routes, {} bytes: acknowledged: {is_acked}",
            large.len()
        ));
    }
    let usual = routes::config(3, USUAL_ROUTES);
    let is_acked = platform.configure(&usual, Duration::from_secs(60));
    record.say(&format!(
        "version 3, {USUAL_ROUTES} routes: acknowledged within 60 s: {is_acked}"
    ));
    for (name, ends, peak) in platform.ends() {
        record.say(&format!(
            "{name}: {ends} ends of its process, {peak} kB at its peak"
        ));
    }
    platform.stop();
    Some(!is_acked)
}
