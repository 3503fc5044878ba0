//! Which replica is believed to hold which prompt prefix.
//!
//! Engines tell of their caches late and with gaps, so this is knowledge with a
//! degree of belief, never a fact: a wrong guess costs a prefill, not an answer.

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

/// Belief in what only this daemon's own history suggests.
const BELIEF_IN_OWN_HISTORY: f64 = 0.8;
/// The share of belief that a gap takes from what was known before it.
const DOUBT_AFTER_GAP: f64 = 0.5;
/// What one event in sequence leaves of the doubt.
const DOUBT_LEFT_BY_EVENT: f64 = 0.98;
/// The most replicas remembered for one prefix; the oldest goes first.
const HOLDERS_LIMIT: usize = 8;

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// Its hash, as the engines compute it.
    pub hash: u64,
    /// Its length.
    pub tokens: TokenCount,
}

/// Belief about the prefix caches of all replicas, bounded in memory.
#[derive(Clone, Debug)]
pub struct PrefixKnowledge {
    capacity: usize,
    doubt_half_life: Duration,
    numbers: HashMap<ReplicaId, u32>,
    next_number: u32,
    caches: HashMap<u32, CacheState>,
    holders: HashMap<u64, Vec<Holder>>,
    oldest_first: VecDeque<u64>,
}

/// What is known of one replica's cache as a whole.
#[derive(Clone, Copy, Debug)]
struct CacheState {
    boot: BootId,
    next_sequence: u64,
    gap_at: Option<Timestamp>,
    doubt: f64,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    replica: u32,
    tokens: TokenCount,
    learned_at: Timestamp,
    source: Source,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// A request with this prefix was answered there.
    OwnHistory,
    /// The engine said so, in the event of this number.
    Event(u64),
}

impl PrefixKnowledge {
    /// Makes empty knowledge that remembers at most `capacity` prefixes.
    pub fn new(capacity: usize, doubt_half_life: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            doubt_half_life,
            numbers: HashMap::new(),
            next_number: 0,
            caches: HashMap::new(),
            holders: HashMap::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Takes in a cache event.
    pub fn apply(&mut self, notice: &CacheNotice, now: Timestamp) {
        let replica = self.number(&notice.replica);
        let sequence = notice.event.sequence;
        self.follow_sequence(replica, notice.boot, sequence, now);
        let tokens = if notice.event.stored {
            notice.event.tokens
        } else {
            TokenCount(0)
        };
        let holder = Holder {
            replica,
            tokens,
            learned_at: now,
            source: Source::Event(sequence),
        };
        self.learn(notice.event.prefix_hash, holder);
    }

    /// Notes that a request with these prefixes was answered by a replica.
    pub fn record_answer(&mut self, replica: &ReplicaId, prefixes: &[Prefix], now: Timestamp) {
        let replica = self.number(replica);
        for prefix in prefixes {
            let holder = Holder {
                replica,
                tokens: prefix.tokens,
                learned_at: now,
                source: Source::OwnHistory,
            };
            self.learn(prefix.hash, holder);
        }
    }

    /// Returns how many tokens of a prompt a replica is expected to hold.
    ///
    /// This is the best of length times belief over the prompt's prefixes.
    pub fn expected_tokens(&self, replica: &ReplicaId, prefixes: &[Prefix], now: Timestamp) -> f64 {
        let Some(&number) = self.numbers.get(replica) else {
            return 0.0;
        };
        prefixes
            .iter()
            .filter_map(|prefix| self.holder(number, prefix.hash))
            .map(|holder| holder.tokens.0 as f64 * self.belief(holder, now))
            .fold(0.0, f64::max)
    }

    /// Returns how many prefixes are remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Drops what is remembered of replicas that are not kept.
    pub fn forget(&mut self, is_kept: impl Fn(&ReplicaId) -> bool) {
        let before = self.numbers.len();
        self.numbers.retain(|replica, _| is_kept(replica));
        if self.numbers.len() == before {
            return;
        }
        let kept: Vec<u32> = self.numbers.values().copied().collect();
        self.caches.retain(|number, _| kept.contains(number));
        self.drop_holders(|holder| kept.contains(&holder.replica));
    }

    fn number(&mut self, replica: &ReplicaId) -> u32 {
        if let Some(&number) = self.numbers.get(replica) {
            return number;
        }
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.numbers.insert(replica.clone(), number);
        number
    }

    /// Keeps the replica's event sequence and notes gaps.
    fn follow_sequence(&mut self, replica: u32, boot: BootId, sequence: u64, now: Timestamp) {
        let fresh = CacheState {
            boot,
            next_sequence: sequence,
            gap_at: None,
            doubt: 0.0,
        };
        let is_first_of_run = match self.caches.get(&replica) {
            None => true,
            Some(cache) => cache.boot != boot,
        };
        if is_first_of_run {
            // A restarted engine has an empty cache: what was known of the old run
            // would draw requests to a replica that must prefill them all.
            self.drop_holders(|holder| holder.replica != replica);
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
            cache.doubt *= DOUBT_LEFT_BY_EVENT;
        }
        cache.next_sequence = sequence.saturating_add(1);
    }

    fn learn(&mut self, hash: u64, new: Holder) {
        if !self.holders.contains_key(&hash) {
            self.make_room();
            self.oldest_first.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        match holders.iter_mut().find(|held| held.replica == new.replica) {
            Some(held) => merge(held, new),
            None => {
                if holders.len() >= HOLDERS_LIMIT {
                    holders.remove(0);
                }
                holders.push(new);
            }
        }
    }

    fn make_room(&mut self) {
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

    fn belief(&self, holder: &Holder, now: Timestamp) -> f64 {
        let by_source = match holder.source {
            Source::OwnHistory => BELIEF_IN_OWN_HISTORY,
            Source::Event(_) => 1.0,
        };
        by_source * (1.0 - self.doubt(holder, now))
    }

    /// Returns the doubt that a gap after this was learned casts on it.
    fn doubt(&self, holder: &Holder, now: Timestamp) -> f64 {
        let Some(cache) = self.caches.get(&holder.replica) else {
            return 0.0;
        };
        let Some(gap_at) = cache.gap_at else {
            return 0.0;
        };
        if holder.learned_at >= gap_at {
            return 0.0;
        }
        let age = now.since(gap_at).as_secs_f64();
        cache.doubt * 0.5_f64.powf(age / self.doubt_half_life.as_secs_f64())
    }

    fn drop_holders(&mut self, is_kept: impl Fn(&Holder) -> bool) {
        self.holders.retain(|_, holders| {
            holders.retain(&is_kept);
            !holders.is_empty()
        });
        let holders = &self.holders;
        self.oldest_first.retain(|hash| holders.contains_key(hash));
    }
}

/// Replaces what is known, unless the new event is older than the one known.
///
/// An eviction is kept as a holder of no tokens, so that the storing that it undid
/// does not bring the prefix back when it arrives late.
fn merge(held: &mut Holder, new: Holder) {
    if let (Source::Event(known), Source::Event(arrived)) = (held.source, new.source)
        && arrived < known
    {
        return;
    }
    let confirmed = matches!(held.source, Source::Event(_)) && held.tokens >= new.tokens;
    let source = match new.source {
        // An own answer renews what the engine itself confirmed, and does not weaken it.
        Source::OwnHistory if confirmed => held.source,
        source => source,
    };
    *held = Holder { source, ..new };
}
