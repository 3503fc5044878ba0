//! The prefix cache of an engine: limited memory, least recently used out first.

use std::collections::{
    HashMap,
    VecDeque, //
};

use cicadabend::{
    prelude::*,
    upstream_api::CacheEvent, //
};

/// How many events wait for an announcement at most.
const EVENT_LIMIT: usize = 4_096;

/// What one engine has cached, and the events it has not announced yet.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    uses: u64,
    entries: HashMap<u64, Entry>,
    next_sequence: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

#[derive(Debug)]
struct Entry {
    tokens: u64,
    last_use: u64,
}

impl PrefixCache {
    /// Makes an empty cache for this many tokens.
    pub fn new(capacity: TokenCount) -> Self {
        Self {
            capacity: capacity.0,
            used: 0,
            uses: 0,
            entries: HashMap::new(),
            next_sequence: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns the share of the memory in use.
    pub fn used_percent(&self) -> Percent {
        let share = self.used * 100 / self.capacity.max(1);
        Percent(u8::try_from(share).unwrap_or(100))
    }

    /// Returns how many tokens of a prompt are cached, and caches the whole of it.
    pub fn use_prefix(&mut self, prefix_hash: u64, tokens: u64, now: Timestamp) -> u64 {
        self.uses += 1;
        let found = self.entries.get(&prefix_hash).map_or(0, |e| e.tokens);
        if tokens > self.capacity {
            return found.min(tokens);
        }
        self.remove(prefix_hash);
        while self.used + tokens > self.capacity {
            self.evict_oldest(now);
        }
        let last_use = self.uses;
        self.entries.insert(prefix_hash, Entry { tokens, last_use });
        self.used += tokens;
        if found != tokens {
            self.record(prefix_hash, true, tokens, now);
        }
        found.min(tokens)
    }

    /// Takes the events that are at least this old; one of `lose_every` gets lost.
    pub fn take_events(
        &mut self,
        now: Timestamp,
        delay_ms: u64,
        lose_every: u64,
    ) -> Vec<CacheEvent> {
        let mut taken = Vec::new();
        while let Some((at, _)) = self.events.front() {
            if now.0.saturating_sub(at.0) < delay_ms {
                break;
            }
            let Some((_, event)) = self.events.pop_front() else {
                break;
            };
            if lose_every == 0 || event.sequence % lose_every != 0 {
                taken.push(event);
            }
        }
        taken
    }

    fn remove(&mut self, prefix_hash: u64) {
        if let Some(entry) = self.entries.remove(&prefix_hash) {
            self.used -= entry.tokens;
        }
    }

    fn evict_oldest(&mut self, now: Timestamp) {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.last_use);
        let Some((&prefix_hash, entry)) = oldest else {
            return;
        };
        let tokens = entry.tokens;
        self.remove(prefix_hash);
        self.record(prefix_hash, false, tokens, now);
    }

    fn record(&mut self, prefix_hash: u64, stored: bool, tokens: u64, now: Timestamp) {
        let event = CacheEvent {
            sequence: self.next_sequence,
            prefix_hash,
            stored,
            tokens: TokenCount(tokens),
        };
        self.next_sequence += 1;
        // An engine that nobody listens to must not grow; the sequence numbers
        // show the gap to whoever listens next.
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back((now, event));
    }
}
