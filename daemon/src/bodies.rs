//! Bodies of requests that a process holds in memory, all together within a limit.

use std::{
    collections::BTreeMap,
    io::{
        self,
        Read, //
    },
    pin::pin,
    slice,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use cicadabend::{
    admission::{
        BodyMemory,
        BodyNumber,
        NoRoom,
        RoomChange, //
    },
    prelude::*,
};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    daemon_events::LogEvent,
    metrics::Metrics,
    settings::memory_share, //
};

/// Capacity of the first segment of a body that announces no length.
const FIRST_SEGMENT_BYTES: usize = 4 * 1024;
/// Largest capacity of a segment.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Ratio of a process's memory to the memory that its bodies may take.
const MEMORY_RATIO: u64 = 4;
/// The name of the gauge of reserved bytes.
const GAUGE_BYTES: &str = "body_memory_bytes";
/// The name of the gauge of bodies.
const GAUGE_BODIES: &str = "body_memory_bodies";

crate::counters! {
    /// What the memory for request bodies did.
    pub enum BodyMemoryUse = "body_memory" {
        /// Requests that were refused because there was no room for their bodies.
        Refused,
        /// Bodies that made no progress and lost their room to others.
        Evicted,
    }
}

/// Why a body could not be read.
#[derive(Debug)]
pub enum BodyReadError<E> {
    /// The body is longer than allowed.
    TooLong,
    /// There is no room for the body, or it has lost its room to others.
    NoRoom,
    /// The sender broke off.
    Broken(E),
}

impl<E> From<NoRoom> for BodyReadError<E> {
    fn from(NoRoom: NoRoom) -> Self {
        BodyReadError::NoRoom
    }
}

/// Reads bodies into memory; clones share the limit.
#[derive(Clone)]
pub struct Bodies {
    shared: Arc<Shared>,
}

struct Shared {
    store: Mutex<Store>,
    clock: Clock,
    metrics: Metrics,
}

struct Store {
    memory: BodyMemory,
    /// The bodies that are being read.
    arriving: BTreeMap<BodyNumber, Arc<Arriving>>,
}

/// A body that is being read; it loses its segments at once when it loses its room.
#[derive(Default)]
struct Arriving {
    content: Mutex<Content>,
    evicted: Notify,
}

/// The bytes of a body, in segments.
///
/// Each segment is filled before the next one is made, so a body never takes much more memory than
/// its length, however small the pieces that it comes in.
#[derive(Default)]
struct Content {
    filled: Vec<Bytes>,
    current: BytesMut,
    capacity: u64,
    received: u64,
    is_evicted: bool,
}

/// A whole body; it keeps its room until this is dropped.
#[derive(Default)]
pub struct HeldBody {
    segments: Vec<Bytes>,
    length: u64,
    _room: Option<Room>,
}

/// The room of a body, released when this is dropped.
struct Room {
    shared: Arc<Shared>,
    number: BodyNumber,
    arriving: Arc<Arriving>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock is held leaves counts behind, which stay usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Bodies {
    /// Makes a store for a process whose machine has `memory_mb` megabytes.
    pub fn new(memory_mb: u64, clock: Clock, metrics: Metrics) -> Self {
        metrics.declare::<BodyMemoryUse>();
        let size = memory_share(memory_mb, MEMORY_RATIO);
        let store = Store {
            memory: BodyMemory::new(size),
            arriving: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                store: Mutex::new(store),
                clock,
                metrics,
            }),
        }
    }

    /// Reads a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BodyReadError::TooLong`] before a byte is read if the announced length is above the
    /// limit, [`BodyReadError::NoRoom`] if other bodies take the memory, or the error of the body.
    pub async fn read<B>(
        &self,
        body: &mut B,
        limit: ByteCount,
    ) -> Result<HeldBody, BodyReadError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(HeldBody::default());
        }
        let limit = limit.min(lock(&self.shared.store).memory.longest_body());
        let announced = body.size_hint().exact();
        if body.size_hint().lower() > limit.0 {
            return Err(BodyReadError::TooLong);
        }
        let room = self.begin(ByteCount(announced.unwrap_or(0)))?;
        let arriving = Arc::clone(&room.arriving);
        let mut evicted = pin!(arriving.evicted.notified());
        loop {
            let frame = tokio::select! {
                biased;
                () = evicted.as_mut() => return Err(BodyReadError::NoRoom),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            if let Ok(data) = frame.map_err(BodyReadError::Broken)?.into_data() {
                room.append(&data, announced, limit)?;
            }
        }
        Ok(room.complete()?)
    }

    /// Sets the gauges, and logs a change of the room; called at an interval.
    pub fn report(&self) {
        let (bytes, bodies) = {
            let mut store = lock(&self.shared.store);
            self.shared.log_change(&mut store);
            (store.memory.used(), store.memory.count())
        };
        self.shared.metrics.gauge(GAUGE_BYTES, bytes.0);
        self.shared.metrics.gauge(GAUGE_BODIES, bodies as u64);
    }

    fn begin(&self, announced: ByteCount) -> Result<Room, NoRoom> {
        let now = self.shared.clock.now();
        let mut store = lock(&self.shared.store);
        let begun = store.memory.begin(announced, now);
        if let Ok((_, granted)) = &begun {
            self.shared.evict(&mut store, &granted.evicted);
        }
        self.shared.log_change(&mut store);
        let Ok((number, _)) = begun else {
            self.shared.metrics.count(BodyMemoryUse::Refused);
            return Err(NoRoom);
        };
        let arriving = Arc::new(Arriving::default());
        store.arriving.insert(number, Arc::clone(&arriving));
        Ok(Room {
            shared: Arc::clone(&self.shared),
            number,
            arriving,
        })
    }
}

impl Shared {
    fn evict(&self, store: &mut Store, evicted: &[BodyNumber]) {
        for number in evicted {
            let Some(arriving) = store.arriving.remove(number) else {
                continue;
            };
            let mut content = lock(&arriving.content);
            *content = Content {
                is_evicted: true,
                ..Content::default()
            };
            arriving.evicted.notify_one();
            self.metrics.count(BodyMemoryUse::Evicted);
        }
    }

    fn log_change(&self, store: &mut Store) {
        let used_bytes = store.memory.used();
        match store.memory.take_change(self.clock.now()) {
            Some(RoomChange::Lost) => LogEvent::BodyMemoryFull { used_bytes }.emit(),
            Some(RoomChange::Regained) => LogEvent::BodyMemoryFree { used_bytes }.emit(),
            None => {}
        }
    }
}

impl Room {
    /// Copies received bytes, so that the buffer in which they came is free again.
    fn append<E>(
        &self,
        mut data: &[u8],
        announced: Option<u64>,
        limit: ByteCount,
    ) -> Result<(), BodyReadError<E>> {
        while !data.is_empty() {
            self.ensure_segment(announced, limit)?;
            let mut content = lock(&self.arriving.content);
            if content.is_evicted {
                return Err(BodyReadError::NoRoom);
            }
            let room = content.current.capacity() - content.current.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            content.current.extend_from_slice(fitting);
            content.received += fitting.len() as u64;
            data = rest;
        }
        let received = lock(&self.arriving.content).received;
        let now = self.shared.clock.now();
        let mut store = lock(&self.shared.store);
        store
            .memory
            .record_received(self.number, ByteCount(received), now);
        Ok(())
    }

    /// Makes the next segment if the current one is full.
    fn ensure_segment<E>(
        &self,
        announced: Option<u64>,
        limit: ByteCount,
    ) -> Result<(), BodyReadError<E>> {
        let (capacity, received) = {
            let content = lock(&self.arriving.content);
            if content.current.len() < content.current.capacity() {
                return Ok(());
            }
            (content.capacity, content.received)
        };
        if received >= limit.0 {
            return Err(BodyReadError::TooLong);
        }
        let segment = match announced {
            Some(length) => length.saturating_sub(received).min(SEGMENT_BYTES as u64),
            // As large as all before it together.
            None => capacity
                .clamp(FIRST_SEGMENT_BYTES as u64, SEGMENT_BYTES as u64)
                .min(limit.0 - received),
        };
        // A body that is longer than announced has no room, and hyper passes none on.
        if segment == 0 {
            return Err(BodyReadError::TooLong);
        }
        self.grow(ByteCount(capacity + segment))?;
        let mut content = lock(&self.arriving.content);
        let filled = std::mem::take(&mut content.current).freeze();
        if !filled.is_empty() {
            content.filled.push(filled);
        }
        content.current = BytesMut::with_capacity(segment as usize);
        content.capacity += segment;
        Ok(())
    }

    fn grow(&self, length: ByteCount) -> Result<(), NoRoom> {
        let now = self.shared.clock.now();
        let mut store = lock(&self.shared.store);
        let granted = store.memory.grow(self.number, length, now);
        if let Ok(granted) = &granted {
            self.shared.evict(&mut store, &granted.evicted);
        }
        self.shared.log_change(&mut store);
        if granted.is_err() {
            self.shared.metrics.count(BodyMemoryUse::Refused);
        }
        granted.map(drop)
    }

    fn complete(self) -> Result<HeldBody, NoRoom> {
        {
            let mut store = lock(&self.shared.store);
            store.memory.complete(self.number);
            store.arriving.remove(&self.number);
        }
        let mut content = std::mem::take(&mut *lock(&self.arriving.content));
        // Another thread may have evicted the body since its last bytes came.
        if content.is_evicted {
            return Err(NoRoom);
        }
        let last = content.current.freeze();
        if !last.is_empty() {
            content.filled.push(last);
        }
        Ok(HeldBody {
            segments: content.filled,
            length: content.received,
            _room: Some(self),
        })
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let mut store = lock(&self.shared.store);
        store.arriving.remove(&self.number);
        store.memory.release(self.number);
        self.shared.log_change(&mut store);
    }
}

impl HeldBody {
    /// Returns the number of bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the segments of the body in order; none is empty.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns the body in one piece; one of several segments is copied.
    pub fn to_contiguous(&self) -> Bytes {
        match self.segments.as_slice() {
            [] => Bytes::new(),
            [whole] => whole.clone(),
            segments => Bytes::from(segments.concat()),
        }
    }

    /// Returns a reader of the whole body.
    pub fn reader(&self) -> impl Read {
        SegmentReader {
            current: &[],
            rest: self.segments.iter(),
        }
    }
}

/// Reads the segments of a body one after the other.
struct SegmentReader<'a> {
    current: &'a [u8],
    rest: slice::Iter<'a, Bytes>,
}

impl Read for SegmentReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.current.is_empty() {
            self.current = self.rest.next().map_or(&[], AsRef::as_ref);
        }
        self.current.read(buffer)
    }
}
