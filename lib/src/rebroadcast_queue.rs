//! What one daemon tells others several times, since a message may be lost.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::prelude::*;

/// How often one thing is told.
const TIMES_TOLD: u8 = 3;
/// The pause between two tellings.
const TOLD_EVERY: Duration = Duration::from_millis(400);
/// How many things are still being told; beyond, the oldest are told no more.
const MOST_TOLD: usize = 512;

#[derive(Clone, Debug)]
struct Told<T> {
    item: T,
    times_left: u8,
    due: Timestamp,
}

/// Things that are to be told a few times each.
#[derive(Clone, Debug)]
pub(crate) struct RebroadcastQueue<T> {
    queue: VecDeque<Told<T>>,
}

impl<T> Default for RebroadcastQueue<T> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
        }
    }
}

impl<T: Clone> RebroadcastQueue<T> {
    /// Has a thing told from now on.
    pub(crate) fn push(&mut self, item: T, now: Timestamp) {
        self.queue.push_back(Told {
            item,
            times_left: TIMES_TOLD,
            due: now,
        });
        if self.queue.len() > MOST_TOLD {
            self.queue.pop_front();
        }
    }

    /// Has things told no more.
    pub(crate) fn remove_if(&mut self, is_void: impl Fn(&T) -> bool) {
        self.queue.retain(|told| !is_void(&told.item));
    }

    /// Returns whether such a thing is still being told.
    pub(crate) fn contains(&self, is_meant: impl Fn(&T) -> bool) -> bool {
        self.queue.iter().any(|told| is_meant(&told.item))
    }

    /// Returns what is to be told now.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<T> {
        let mut due = Vec::new();
        for told in self.queue.iter_mut().filter(|told| told.due <= now) {
            told.times_left -= 1;
            told.due = now + TOLD_EVERY;
            due.push(told.item.clone());
        }
        self.queue.retain(|told| told.times_left > 0);
        due
    }
}
