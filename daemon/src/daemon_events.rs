//! The log events that every process can write (CB1000 to CB1099).

crate::events! {
    /// The process has read its settings and starts its threads.
    1001 Info Started { program: &'static str, version: &'static str } "started";
    /// SIGTERM or SIGINT arrived; the process drains and ends by itself.
    1002 Info StopRequested { signal: &'static str } "stop requested";
    /// A further stop signal arrived while the process drains; it changes nothing.
    1003 Warn StopRepeated { signal: &'static str } "already stopping; signal ignored";
    /// The process ends; everything it had promised is done.
    1004 Info Stopped {} "stopped";
    /// The process cannot go on; the reason says why.
    1005 Error Failed { reason: String } "failed";
    /// `GET /metrics` is answered at this address.
    1006 Info MetricsListening { address: std::net::SocketAddr } "metrics are served";
    /// SIGHUP arrived; settings that may change while the process runs are read again.
    1008 Info ReloadAsked {} "settings may have changed";
    /// The seeds in the settings file have changed; the new ones are greeted from now on.
    1009 Info SeedsChanged { seeds: String } "seeds changed";
    /// The settings file has changed and cannot be used; the old settings stay in force.
    1010 Warn ReloadRefused { reason: String } "changed settings refused";
    /// The memory for request bodies is used up: requests are refused, and bodies that make no
    /// progress are dropped.
    1011 Warn BodyMemoryFull { used_bytes: cicadabend::prelude::ByteCount } "no room for request bodies";
    /// At least half of the memory for request bodies is free again.
    1012 Info BodyMemoryFree { used_bytes: cicadabend::prelude::ByteCount } "room for request bodies again";
    /// Lines were lost because nobody read the log fast enough; nothing else was held up.
    1007 Warn LinesDropped { lines: u64 } "log lines were dropped";
}
