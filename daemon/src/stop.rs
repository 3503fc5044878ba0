//! A graceful stop, asked for by SIGTERM or SIGINT.
//!
//! [`StopSignal`] is a flag that every thread can hold a clone of; each waits for it
//! in its own runtime. A second signal changes nothing, because a planned stop
//! must not cut off a request in progress.

use std::io;

use tokio::{
    signal::unix::{
        Signal,
        SignalKind,
        signal, //
    },
    sync::watch,
};

use crate::daemon_events::LogEvent;

/// Asks holders of [`StopSignal`] to stop.
#[derive(Clone, Debug)]
pub struct StopRequester {
    sender: watch::Sender<bool>,
}

/// Tells whether the process has been asked to stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

/// Makes a stop that is asked for by code, as tests and threads do.
pub fn manual() -> (StopRequester, StopSignal) {
    let (sender, receiver) = watch::channel(false);
    (StopRequester { sender }, StopSignal { receiver })
}

impl StopRequester {
    /// Asks for the stop; returns whether this was the first time.
    pub fn request(&self) -> bool {
        !self.sender.send_replace(true)
    }
}

impl StopSignal {
    /// Returns whether a stop has been asked for.
    pub fn is_requested(&self) -> bool {
        *self.receiver.borrow()
    }

    /// Waits until a stop is asked for; returns at once if it has been.
    pub async fn requested(&mut self) {
        // An error means that all requesters are gone, which is a stop as well.
        let _ = self.receiver.wait_for(|requested| *requested).await;
    }
}

/// Starts the thread `signals`, which turns SIGTERM and SIGINT into a stop.
///
/// SIGHUP ends nothing: it says that the settings file has changed, and daemons look at
/// those settings that may change while they run, with or without a signal.
///
/// When this returns, signals are handled already. The thread lasts as long as the process.
///
/// # Errors
///
/// Returns the operating system's error if the thread or the handlers cannot be made.
pub fn on_signals() -> io::Result<(StopRequester, StopSignal)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let entered = runtime.enter();
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    drop(entered);
    let (requester, stop) = manual();
    let thread_requester = requester.clone();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || runtime.block_on(listen(terminate, interrupt, hangup, thread_requester)))?;
    Ok((requester, stop))
}

async fn listen(
    mut terminate: Signal,
    mut interrupt: Signal,
    mut hangup: Signal,
    requester: StopRequester,
) {
    loop {
        let signal = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
            _ = hangup.recv() => {
                // Settings that may change while the process runs are looked at anyway;
                // without a handler the signal would end the process.
                LogEvent::ReloadAsked {}.emit();
                continue;
            }
        };
        if requester.request() {
            LogEvent::StopRequested { signal }.emit();
        } else {
            LogEvent::StopRepeated { signal }.emit();
        }
    }
}
