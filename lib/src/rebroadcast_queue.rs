//! A queue whose items are each sent several times, since messages between daemons may be lost.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::prelude::*;

/// The number of times that each item is sent.
const SEND_COUNT: u8 = 3;
/// The time between two sendings of an item.
const SEND_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum length of the queue; beyond it, the oldest items are dropped, even if they have
/// not been sent [`SEND_COUNT`] times yet.
const MAX_QUEUED: usize = 512;

#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    sends_left: u8,
    /// The time of the next sending.
    due: Timestamp,
}

/// Items that are each to be sent [`SEND_COUNT`] times.
#[derive(Clone, Debug)]
pub(crate) struct RebroadcastQueue<T> {
    queue: VecDeque<QueuedItem<T>>,
}

impl<T> Default for RebroadcastQueue<T> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
        }
    }
}

impl<T: Clone> RebroadcastQueue<T> {
    /// Appends an item that is due at once for the first time.
    pub(crate) fn enqueue(&mut self, item: T, now: Timestamp) {
        self.queue.push_back(QueuedItem {
            item,
            sends_left: SEND_COUNT,
            due: now,
        });
        if self.queue.len() > MAX_QUEUED {
            self.queue.pop_front();
        }
    }

    /// Removes the matching items, however often they have been sent.
    pub(crate) fn remove_if(&mut self, should_remove: impl Fn(&T) -> bool) {
        self.queue.retain(|queued| !should_remove(&queued.item));
    }

    /// Returns whether any queued item matches.
    pub(crate) fn contains(&self, is_match: impl Fn(&T) -> bool) -> bool {
        self.queue.iter().any(|queued| is_match(&queued.item))
    }

    /// Returns the items that are due now, and removes those that have been sent often enough.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<T> {
        let mut due = Vec::new();
        for queued in self.queue.iter_mut().filter(|queued| queued.due <= now) {
            queued.sends_left -= 1;
            queued.due = now + SEND_INTERVAL;
            due.push(queued.item.clone());
        }
        self.queue.retain(|queued| queued.sends_left > 0);
        due
    }
}
