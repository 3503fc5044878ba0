//! One named thread with its own single-threaded runtime for each duty.

use std::{
    future::Future,
    io,
    thread::{
        self,
        JoinHandle, //
    },
};

/// Starts a thread that runs one duty to its end.
///
/// The future is made on the new thread, so it need not be `Send`.
///
/// # Errors
///
/// Returns the operating system's error if the thread or its runtime cannot be made.
pub fn spawn<Make, Duty>(name: &str, make: Make) -> io::Result<JoinHandle<()>>
where
    Make: FnOnce() -> Duty + Send + 'static,
    Duty: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move { make().await });
    })
}
