//! The bounded rings that join a process's threads.
//!
//! A full ring never blocks its sender: the sender gets the item back, counts
//! it and decides what to do. The receiver waits without polling.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        AtomicUsize,
        Ordering, //
    },
};

use crossbeam_queue::ArrayQueue;
use tokio::sync::Notify;

struct Shared<T> {
    name: &'static str,
    queue: ArrayQueue<T>,
    filled: Notify,
    senders: AtomicUsize,
    refused: AtomicU64,
}

/// The sending end of a ring; clones send into the same ring.
pub struct Sender<T> {
    shared: Arc<Shared<T>>,
}

/// The only receiving end of a ring.
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
}

/// Makes a ring that holds at most `capacity` items.
pub fn bounded<T>(name: &'static str, capacity: usize) -> (Sender<T>, Receiver<T>) {
    let shared = Arc::new(Shared {
        name,
        queue: ArrayQueue::new(capacity.max(1)),
        filled: Notify::new(),
        senders: AtomicUsize::new(1),
        refused: AtomicU64::new(0),
    });
    let sender = Sender {
        shared: Arc::clone(&shared),
    };
    (sender, Receiver { shared })
}

impl<T> Sender<T> {
    /// Puts an item in.
    ///
    /// # Errors
    ///
    /// Gives the item back if the ring is full, and counts that.
    pub fn push(&self, item: T) -> Result<(), T> {
        let outcome = self.shared.queue.push(item);
        match &outcome {
            Ok(()) => self.shared.filled.notify_one(),
            Err(_) => {
                self.shared.refused.fetch_add(1, Ordering::Relaxed);
            }
        }
        outcome
    }

    /// Puts an item in, and drops the oldest one if the ring is full.
    ///
    /// Returns the item that was dropped.
    pub fn push_dropping_oldest(&self, item: T) -> Option<T> {
        let dropped = self.shared.queue.force_push(item);
        if dropped.is_some() {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
        }
        self.shared.filled.notify_one();
        dropped
    }

    /// Returns how many items did not fit so far.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Returns the ring's name, for counters.
    pub fn name(&self) -> &'static str {
        self.shared.name
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        self.shared.senders.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        if self.shared.senders.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.filled.notify_one();
        }
    }
}

impl<T> Receiver<T> {
    /// Takes the oldest item; waits for one; `None` once all senders are gone.
    pub async fn next(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.shared.queue.pop() {
                return Some(item);
            }
            if self.shared.senders.load(Ordering::Acquire) == 0 {
                return self.shared.queue.pop();
            }
            self.shared.filled.notified().await;
        }
    }

    /// Waits until all senders are gone; items may still be in the ring.
    pub async fn closed(&mut self) {
        while self.shared.senders.load(Ordering::Acquire) > 0 {
            self.shared.filled.notified().await;
        }
    }

    /// Takes the oldest item if there is one.
    pub fn try_next(&mut self) -> Option<T> {
        self.shared.queue.pop()
    }
}
