//! The thread `logs`, which writes lines that other threads hand over.
//!
//! Writing to a pipe blocks when its reader stands still. Were lines written where
//! they arise, a stopped log collector would stop the serving of callers. A full
//! queue therefore drops the new line, and the next line that is written says how
//! many are missing.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            SyncSender,
            sync_channel, //
        },
    },
    thread,
    time::Duration,
};

/// How many lines wait for the writer before further ones are dropped.
pub const QUEUE_CAPACITY_LINES: usize = 8_192;

enum Message {
    Line(String),
    /// Answered when everything before it is written.
    Flush(SyncSender<()>),
}

/// The sending end; clones send to the same thread.
#[derive(Clone)]
pub struct LineQueue {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread, which writes to `out` for as long as a sender is left.
    ///
    /// `losses` makes the line that tells how many lines were dropped.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be made.
    pub fn start<Out, Losses>(out: Out, losses: Losses) -> io::Result<Self>
    where
        Out: Write + Send + 'static,
        Losses: Fn(u64) -> String + Send + 'static,
    {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            out: io::BufWriter::new(out),
            dropped: Arc::clone(&dropped),
            losses,
        };
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || writer.run(&receiver))?;
        Ok(Self { sender, dropped })
    }

    /// Hands a line over, or drops it if the writer is too far behind.
    pub fn push(&self, line: String) {
        if self.sender.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until what was handed over is written, for `limit` at most.
    ///
    /// Returns whether it is.
    pub fn flush(&self, limit: Duration) -> bool {
        let (written, wait) = sync_channel(1);
        self.sender.try_send(Message::Flush(written)).is_ok() && wait.recv_timeout(limit).is_ok()
    }
}

struct Writer<Out: Write, Losses> {
    out: io::BufWriter<Out>,
    dropped: Arc<AtomicU64>,
    losses: Losses,
}

impl<Out: Write, Losses: Fn(u64) -> String> Writer<Out, Losses> {
    fn run(mut self, receiver: &Receiver<Message>) {
        while let Ok(message) = receiver.recv() {
            self.take(message);
            while let Ok(message) = receiver.try_recv() {
                self.take(message);
            }
            // Nobody is left to tell if the log itself cannot be written.
            let _ = self.out.flush();
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Line(line) => {
                self.write(&line);
                let dropped = self.dropped.swap(0, Ordering::Relaxed);
                if dropped > 0 {
                    self.write(&(self.losses)(dropped));
                }
            }
            Message::Flush(written) => {
                let _ = self.out.flush();
                let _ = written.try_send(());
            }
        }
    }

    fn write(&mut self, line: &str) {
        let _ = writeln!(self.out, "{line}");
    }
}
