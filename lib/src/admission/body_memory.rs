//! Memory for the bodies of all requests that a daemon holds at once.
//!
//! A quarter of the memory is kept for small bodies, so that large ones never leave ordinary
//! requests without room.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::prelude::*;

/// Length up to which a body is small.
pub const SMALL_BODY: ByteCount = ByteCount(16 * 1024);
/// Part of the memory that is kept for small bodies, as a divisor.
const SMALL_PART: u64 = 4;
/// Bytes that a sender must add to count as making progress.
///
/// A sender that adds single bytes would otherwise keep its room for as long as it likes.
const PROGRESS: ByteCount = ByteCount(16 * 1024);
/// Time without progress after which a body may lose its room to another one; longer than a usual
/// retransmission timeout.
const STALLED: Duration = Duration::from_millis(500);
/// The room counts as regained once no more than this part of the memory is used, as a divisor.
const REGAINED_PART: u64 = 2;
/// Least time from the loss of room to its regain.
const SHORT_AT_LEAST: Duration = Duration::from_secs(5);

/// The number of a body in one [`BodyMemory`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BodyNumber(u64);

/// Room was granted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Granted {
    /// Bodies that lost their room for it; the caller must drop their bytes.
    pub evicted: Vec<BodyNumber>,
}

/// There is no room, and no stalled body to take it from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

/// A change of the memory's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomChange {
    /// A body was refused or evicted for lack of room.
    Lost,
    /// At least half of the memory is free again.
    Regained,
}

/// One of the two parts of the memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pool {
    Small,
    Large,
}

impl Pool {
    fn of(length: ByteCount) -> Self {
        match length <= SMALL_BODY {
            true => Pool::Small,
            false => Pool::Large,
        }
    }
}

/// A body that has room.
#[derive(Clone, Copy, Debug)]
struct Held {
    reserved: ByteCount,
    /// `None` once the body is complete.
    progress: Option<Progress>,
}

/// When a body last made progress, and how long it was then.
#[derive(Clone, Copy, Debug)]
struct Progress {
    at: Timestamp,
    received: ByteCount,
}

/// Decides which bodies have room.
///
/// A body reserves its announced length, or what it has received if it has announced none. While a
/// body is incomplete and makes no progress, others may take its room.
#[derive(Debug)]
pub struct BodyMemory {
    size: ByteCount,
    bodies: BTreeMap<BodyNumber, Held>,
    small_bytes: u64,
    large_bytes: u64,
    next: u64,
    /// Whether a body was refused or evicted since the last look at the state.
    has_lost_room: bool,
    /// Since when there is too little room, by the state that was last told.
    short_since: Option<Timestamp>,
}

impl BodyMemory {
    /// Makes a memory of a size.
    pub fn new(size: ByteCount) -> Self {
        Self {
            size,
            bodies: BTreeMap::new(),
            small_bytes: 0,
            large_bytes: 0,
            next: 0,
            has_lost_room: false,
            short_since: None,
        }
    }

    /// Returns the length above which a body never gets room.
    pub fn longest_body(&self) -> ByteCount {
        ByteCount(self.limit_of(Pool::Large))
    }

    /// Returns how many bytes are reserved.
    pub fn used(&self) -> ByteCount {
        ByteCount(self.small_bytes + self.large_bytes)
    }

    /// Returns the number of bodies that have room.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// Begins a body that announces a length, zero if it announces none.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if the announced length can't be reserved.
    pub fn begin(
        &mut self,
        announced: ByteCount,
        now: Timestamp,
    ) -> Result<(BodyNumber, Granted), NoRoom> {
        let number = BodyNumber(self.next);
        self.next += 1;
        let progress = Progress {
            at: now,
            received: ByteCount(0),
        };
        let held = Held {
            reserved: ByteCount(0),
            progress: Some(progress),
        };
        self.bodies.insert(number, held);
        match self.grow(number, announced, now) {
            Ok(granted) => Ok((number, granted)),
            Err(no_room) => {
                self.bodies.remove(&number);
                Err(no_room)
            }
        }
    }

    /// Reserves more for a body, up to `length` in all.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if that is not possible, or if the body has lost its room.
    pub fn grow(
        &mut self,
        number: BodyNumber,
        length: ByteCount,
        now: Timestamp,
    ) -> Result<Granted, NoRoom> {
        let Some(held) = self.bodies.get(&number) else {
            return Err(NoRoom);
        };
        let reserved = held.reserved;
        if length <= reserved {
            return Ok(Granted::default());
        }
        self.subtract(reserved);
        let granted = self.make_room(number, length, now);
        match &granted {
            Ok(granted) => {
                self.add(length);
                if let Some(held) = self.bodies.get_mut(&number) {
                    held.reserved = length;
                }
                self.has_lost_room |= !granted.evicted.is_empty();
            }
            Err(NoRoom) => {
                self.add(reserved);
                self.has_lost_room = true;
            }
        }
        granted
    }

    /// Records how many bytes of a body have come.
    pub fn record_received(&mut self, number: BodyNumber, received: ByteCount, now: Timestamp) {
        let held = self.bodies.get_mut(&number);
        let Some(progress) = held.and_then(|held| held.progress.as_mut()) else {
            return;
        };
        if received.0.saturating_sub(progress.received.0) >= PROGRESS.0 {
            *progress = Progress { at: now, received };
        }
    }

    /// Records that a body is complete: it keeps its room until it is released.
    pub fn complete(&mut self, number: BodyNumber) {
        if let Some(held) = self.bodies.get_mut(&number) {
            held.progress = None;
        }
    }

    /// Releases the room of a body; one that has lost it has none.
    pub fn release(&mut self, number: BodyNumber) {
        if let Some(held) = self.bodies.remove(&number) {
            self.subtract(held.reserved);
        }
    }

    /// Returns whether room was lost or regained since the last call.
    ///
    /// Room that was lost counts as regained a while later only, so that a crowd causes few changes.
    pub fn take_change(&mut self, now: Timestamp) -> Option<RoomChange> {
        let has_lost_room = std::mem::take(&mut self.has_lost_room);
        let Some(since) = self.short_since else {
            self.short_since = has_lost_room.then_some(now);
            return has_lost_room.then_some(RoomChange::Lost);
        };
        let is_free = self.used().0 <= self.size.0 / REGAINED_PART;
        if !is_free || has_lost_room || now.since(since) < SHORT_AT_LEAST {
            return None;
        }
        self.short_since = None;
        Some(RoomChange::Regained)
    }

    /// Evicts stalled bodies of the same pool until a body of `length` fits, if that is enough.
    fn make_room(
        &mut self,
        number: BodyNumber,
        length: ByteCount,
        now: Timestamp,
    ) -> Result<Granted, NoRoom> {
        let pool = Pool::of(length);
        let limit = self.limit_of(pool);
        let mut used = self.used_in(pool);
        if used + length.0 <= limit {
            return Ok(Granted::default());
        }
        let mut evicted = Vec::new();
        for (stalled, reserved) in self.stalled(pool, number, now) {
            evicted.push(stalled);
            used -= reserved.0;
            if used + length.0 <= limit {
                for number in &evicted {
                    self.release(*number);
                }
                return Ok(Granted { evicted });
            }
        }
        Err(NoRoom)
    }

    fn limit_of(&self, pool: Pool) -> u64 {
        let small = self.size.0 / SMALL_PART;
        match pool {
            Pool::Small => small,
            Pool::Large => self.size.0 - small,
        }
    }

    /// Returns the other bodies of a pool that make no progress, the longest stalled first.
    fn stalled(
        &self,
        pool: Pool,
        except: BodyNumber,
        now: Timestamp,
    ) -> Vec<(BodyNumber, ByteCount)> {
        let others = self.bodies.iter().filter(|(number, held)| {
            **number != except && held.reserved.0 > 0 && Pool::of(held.reserved) == pool
        });
        let mut stalled: Vec<_> = others
            .filter_map(|(number, held)| {
                let since = held.progress?.at;
                let is_stalled = now.since(since) >= STALLED;
                is_stalled.then_some((since, *number, held.reserved))
            })
            .collect();
        stalled.sort_unstable_by_key(|(since, number, _)| (*since, *number));
        stalled
            .into_iter()
            .map(|(_, number, reserved)| (number, reserved))
            .collect()
    }

    fn used_in(&self, pool: Pool) -> u64 {
        match pool {
            Pool::Small => self.small_bytes,
            Pool::Large => self.large_bytes,
        }
    }

    fn add(&mut self, length: ByteCount) {
        match Pool::of(length) {
            Pool::Small => self.small_bytes += length.0,
            Pool::Large => self.large_bytes += length.0,
        }
    }

    fn subtract(&mut self, length: ByteCount) {
        match Pool::of(length) {
            Pool::Small => self.small_bytes -= length.0,
            Pool::Large => self.large_bytes -= length.0,
        }
    }
}
