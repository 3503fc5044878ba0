//! Slots of an upstream and the queue in front of them.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc, //
};

use tokio::sync::oneshot;

/// The priority of a request that names none.
pub const DEFAULT_PRIORITY: u8 = 3;

/// Who waits for a slot, the first to get one first.
type Waiting = BTreeMap<(u8, u64), oneshot::Sender<Slot>>;

/// The slots of one upstream.
#[derive(Clone, Debug)]
pub struct Batch {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    slots: u32,
    running: u32,
    next_ticket: u64,
    waiting: Waiting,
}

/// One slot in use; it is free again when this is dropped.
#[derive(Debug)]
pub struct Slot {
    batch: Option<Batch>,
}

impl Batch {
    /// Makes a batch with this many slots.
    pub fn new(slots: u32) -> Self {
        let inner = Inner {
            slots,
            running: 0,
            next_ticket: 0,
            waiting: Waiting::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.inner.borrow().running
    }

    /// Returns how many requests wait for a slot.
    pub fn queued(&self) -> u32 {
        let inner = self.inner.borrow();
        let still_waits = |sender: &&oneshot::Sender<Slot>| !sender.is_closed();
        inner.waiting.values().filter(still_waits).count() as u32
    }

    /// Waits for a slot; a lower number goes first, among equals the earlier.
    pub async fn acquire(&self, priority: u8) -> Slot {
        let receiver = {
            let mut inner = self.inner.borrow_mut();
            if inner.running < inner.slots {
                inner.running += 1;
                return self.slot();
            }
            let (sender, receiver) = oneshot::channel();
            let ticket = inner.next_ticket;
            inner.next_ticket += 1;
            inner.waiting.insert((priority, ticket), sender);
            receiver
        };
        match receiver.await {
            Ok(slot) => slot,
            // The sender lives in the queue until it has sent a slot, so this is
            // only reached when the whole batch goes away.
            Err(_) => Slot { batch: None },
        }
    }

    fn slot(&self) -> Slot {
        Slot {
            batch: Some(self.clone()),
        }
    }

    /// Hands a freed slot to the first that still waits.
    fn pass_on(&self) {
        loop {
            let first = self.inner.borrow_mut().waiting.pop_first();
            let Some((_, sender)) = first else {
                self.inner.borrow_mut().running -= 1;
                return;
            };
            match sender.send(self.slot()) {
                Ok(()) => return,
                // Nobody waits at the other end any more; the slot must not run
                // its own `Drop`, which would free it a second time.
                Err(mut slot) => slot.batch = None,
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.batch.take() {
            batch.pass_on();
        }
    }
}
