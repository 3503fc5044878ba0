//! Benchmarks with real processes on loopback.
//!
//! - [`cluster`]: the processes.
//! - [`process_stats`]: what the operating system says of one.
//! - [`overhead`]: an entry daemon against going to the engine directly.
//! - [`mixed`]: the shapes of both deployments under load, and their accounts.
//! - [`policies`]: routing policies side by side.
//! - [`spread`]: how soon a change is in force everywhere.
//! - [`slopes`]: what one entry daemon uses as a function of the fleet.
//! - [`capacity`]: the size to design for, worked out from the slopes.
//! - [`report`] and [`plot`]: JSON, Markdown and SVG.

pub mod capacity;
pub mod cluster;
pub mod mixed;
pub mod overhead;
pub mod plot;
pub mod policies;
pub mod process_stats;
pub mod report;
pub mod slopes;
pub mod spread;

use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;

use cluster::ClusterError;

use crate::http_client::HttpError;

/// Why a part cannot be measured.
#[derive(Debug, Display, Error)]
pub enum BenchError {
    /// the cluster: {0}
    Cluster(#[from] ClusterError),
    /// files or processes: {0}
    Io(#[from] std::io::Error),
    /// HTTP: {0}
    Http(#[from] HttpError),
    /// JSON: {0}
    Json(#[from] serde_json::Error),
    /// the plot: {0}
    Plot(String),
    /// {0}
    Unusable(String),
}

/// Says on standard error what is being measured.
pub fn progress(text: &str) {
    eprintln!("bench: {text}");
}

/// Runs a future on a runtime of its own, with a `LocalSet` around it.
///
/// # Errors
///
/// Returns an error if the runtime cannot be made.
pub fn block_on<F>(future: F) -> Result<F::Output, BenchError>
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, future))
}

/// Returns the value at a share of sorted values, zero if there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Returns durations in milliseconds, sorted.
pub fn sorted_ms(values: impl IntoIterator<Item = Duration>) -> Vec<f64> {
    let mut values: Vec<_> = values
        .into_iter()
        .map(|value| value.as_secs_f64() * 1_000.0)
        .collect();
    values.sort_by(f64::total_cmp);
    values
}
