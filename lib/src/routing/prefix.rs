//! Estimates which replicas have which prompt prefixes in their caches.
//!
//! Cache events of engines arrive late and with gaps, so each entry has a confidence
//! between 0 and 1. A wrong estimate costs a prefill, but never a correct answer.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    CacheNotice,
    ReplicaId, //
};
use crate::prelude::*;

/// Confidence, 0 to 1, in an entry that only this daemon's own requests suggest.
const OWN_HISTORY_CONFIDENCE: f64 = 0.8;
/// Share of confidence that entries from before a gap in the events lose.
const DOUBT_AFTER_GAP: f64 = 0.5;
/// Factor by which each event in sequence reduces the doubt left by a gap.
const DOUBT_FACTOR_PER_EVENT: f64 = 0.98;
/// Largest number of replicas stored for one prefix; the oldest is dropped first.
const MAX_HOLDERS: usize = 8;

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// Hash of the prefix, computed as engines do.
    pub hash: u64,
    /// Length of the prefix.
    pub tokens: TokenCount,
}

/// Estimated contents of all replicas' prefix caches, bounded in memory.
///
/// Internally, each replica is identified by a number.
#[derive(Clone, Debug)]
pub struct PrefixCacheEstimate {
    capacity: usize,
    doubt_half_life: Duration,
    replica_numbers: HashMap<ReplicaId, u32>,
    next_replica_number: u32,
    caches: HashMap<u32, CacheState>,
    holders: HashMap<u64, Vec<Holder>>,
    oldest_first: VecDeque<u64>,
}

/// Position in one replica's sequence of cache events, and the doubt after a gap in it.
#[derive(Clone, Copy, Debug)]
struct CacheState {
    /// Instance of the engine that sends the events.
    boot: BootId,
    next_sequence: u64,
    /// Time at which the last gap was noticed.
    gap_at: Option<Timestamp>,
    /// Share of confidence that entries from before the gap lose, before decay by time.
    doubt: f64,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    replica: u32,
    tokens: TokenCount,
    recorded_at: Timestamp,
    source: Source,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// The replica answered a request of this daemon with the prefix.
    OwnHistory,
    /// The engine reported the entry in the event with this sequence number.
    Event(u64),
}

impl PrefixCacheEstimate {
    /// Returns an empty index that stores at most `capacity` prefixes.
    ///
    /// Doubt after a gap in a replica's events halves in each `doubt_half_life`.
    pub fn new(capacity: usize, doubt_half_life: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            doubt_half_life,
            replica_numbers: HashMap::new(),
            next_replica_number: 0,
            caches: HashMap::new(),
            holders: HashMap::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Applies a cache event: a stored or an evicted prefix.
    pub fn apply(&mut self, notice: &CacheNotice, now: Timestamp) {
        let replica = self.replica_number(&notice.replica);
        let sequence = notice.event.sequence;
        self.update_cache_state(replica, notice.boot, sequence, now);
        let tokens = if notice.event.stored {
            notice.event.tokens
        } else {
            TokenCount(0)
        };
        let holder = Holder {
            replica,
            tokens,
            recorded_at: now,
            source: Source::Event(sequence),
        };
        self.record_holder(notice.event.prefix_hash, holder);
    }

    /// Records that a replica answered a request with these prefixes, and so has cached them.
    pub fn record_answer(&mut self, replica: &ReplicaId, prefixes: &[Prefix], now: Timestamp) {
        let replica = self.replica_number(replica);
        for prefix in prefixes {
            let holder = Holder {
                replica,
                tokens: prefix.tokens,
                recorded_at: now,
                source: Source::OwnHistory,
            };
            self.record_holder(prefix.hash, holder);
        }
    }

    /// Returns the expected number of a prompt's tokens in a replica's cache.
    ///
    /// This is the maximum of length times confidence over the prompt's prefixes.
    pub fn expected_tokens(&self, replica: &ReplicaId, prefixes: &[Prefix], now: Timestamp) -> f64 {
        let Some(&replica_number) = self.replica_numbers.get(replica) else {
            return 0.0;
        };
        prefixes
            .iter()
            .filter_map(|prefix| self.holder(replica_number, prefix.hash))
            .map(|holder| holder.tokens.0 as f64 * self.confidence(holder, now))
            .fold(0.0, f64::max)
    }

    /// Returns the number of prefixes stored.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is stored.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Drops the entries of replicas for which `is_present` returns false.
    pub fn forget(&mut self, is_present: impl Fn(&ReplicaId) -> bool) {
        let count_before = self.replica_numbers.len();
        self.replica_numbers
            .retain(|replica, _| is_present(replica));
        if self.replica_numbers.len() == count_before {
            return;
        }
        let present: Vec<u32> = self.replica_numbers.values().copied().collect();
        self.caches
            .retain(|replica_number, _| present.contains(replica_number));
        self.retain_holders(|holder| present.contains(&holder.replica));
    }

    fn replica_number(&mut self, replica: &ReplicaId) -> u32 {
        if let Some(&replica_number) = self.replica_numbers.get(replica) {
            return replica_number;
        }
        let replica_number = self.next_replica_number;
        self.next_replica_number = self.next_replica_number.wrapping_add(1);
        self.replica_numbers.insert(replica.clone(), replica_number);
        replica_number
    }

    /// Advances the replica's event sequence, and records a gap or a new engine instance.
    fn update_cache_state(&mut self, replica: u32, boot: BootId, sequence: u64, now: Timestamp) {
        let fresh = CacheState {
            boot,
            next_sequence: sequence,
            gap_at: None,
            doubt: 0.0,
        };
        let is_new_instance = match self.caches.get(&replica) {
            None => true,
            Some(cache) => cache.boot != boot,
        };
        if is_new_instance {
            // A restarted engine has an empty cache. Entries of the old instance would attract
            // requests to a replica that must prefill them all.
            self.retain_holders(|holder| holder.replica != replica);
            self.caches.insert(replica, fresh);
        }
        let cache = self.caches.entry(replica).or_insert(fresh);
        if sequence < cache.next_sequence {
            return;
        }
        if sequence > cache.next_sequence {
            cache.gap_at = Some(now);
            cache.doubt = DOUBT_AFTER_GAP;
        } else {
            cache.doubt *= DOUBT_FACTOR_PER_EVENT;
        }
        cache.next_sequence = sequence.saturating_add(1);
    }

    fn record_holder(&mut self, hash: u64, new: Holder) {
        if !self.holders.contains_key(&hash) {
            self.evict_oldest();
            self.oldest_first.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        match holders
            .iter_mut()
            .find(|existing| existing.replica == new.replica)
        {
            Some(existing) => update_holder(existing, new),
            None => {
                if holders.len() >= MAX_HOLDERS {
                    holders.remove(0);
                }
                holders.push(new);
            }
        }
    }

    fn evict_oldest(&mut self) {
        while self.holders.len() >= self.capacity {
            match self.oldest_first.pop_front() {
                Some(hash) => {
                    self.holders.remove(&hash);
                }
                None => return,
            }
        }
    }

    fn holder(&self, replica: u32, hash: u64) -> Option<&Holder> {
        self.holders
            .get(&hash)?
            .iter()
            .find(|holder| holder.replica == replica)
    }

    fn confidence(&self, holder: &Holder, now: Timestamp) -> f64 {
        let source_confidence = match holder.source {
            Source::OwnHistory => OWN_HISTORY_CONFIDENCE,
            Source::Event(_) => 1.0,
        };
        source_confidence * (1.0 - self.doubt(holder, now))
    }

    /// Returns the doubt, 0 to 1, due to a gap in the events after the entry was recorded.
    fn doubt(&self, holder: &Holder, now: Timestamp) -> f64 {
        let Some(cache) = self.caches.get(&holder.replica) else {
            return 0.0;
        };
        let Some(gap_at) = cache.gap_at else {
            return 0.0;
        };
        if holder.recorded_at >= gap_at {
            return 0.0;
        }
        let age = now.since(gap_at).as_secs_f64();
        cache.doubt * 0.5_f64.powf(age / self.doubt_half_life.as_secs_f64())
    }

    fn retain_holders(&mut self, is_present: impl Fn(&Holder) -> bool) {
        self.holders.retain(|_, holders| {
            holders.retain(&is_present);
            !holders.is_empty()
        });
        let holders = &self.holders;
        self.oldest_first.retain(|hash| holders.contains_key(hash));
    }
}

/// Replaces a stored entry by a new one, unless the new one is from an older event.
///
/// An eviction is stored as an entry of zero tokens. When the earlier `stored` event of the
/// same prefix arrives late, the entry's sequence number shows that the event is outdated.
fn update_holder(existing: &mut Holder, new: Holder) {
    if let (Source::Event(known_sequence), Source::Event(new_sequence)) =
        (existing.source, new.source)
        && new_sequence < known_sequence
    {
        return;
    }
    let is_confirmed = matches!(existing.source, Source::Event(_)) && existing.tokens >= new.tokens;
    let source = match new.source {
        // An answer to an own request renews an entry that the engine confirmed, and must not
        // lower its confidence.
        Source::OwnHistory if is_confirmed => existing.source,
        source => source,
    };
    *existing = Holder { source, ..new };
}
