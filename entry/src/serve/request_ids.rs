//! Reserves the ids of the requests that are in progress at this daemon.

use std::{
    cell::RefCell,
    collections::HashSet,
    rc::Rc, //
};

use cicadabend::prelude::*;

/// The ids in use; clones share the same set.
#[derive(Clone, Default)]
pub(super) struct RequestIds {
    in_use: Rc<RefCell<HashSet<RequestId>>>,
}

/// One id, which is reserved until this is dropped.
///
/// Engines resume and cancel by request id. Two requests in progress with the same id would cancel
/// each other, or get the rest of the other's response.
pub(super) struct RequestIdInUse {
    id: RequestId,
    ids: RequestIds,
}

impl RequestIds {
    /// Reserves an id; returns `None` if a request in progress uses it.
    pub(super) fn reserve(&self, id: RequestId) -> Option<RequestIdInUse> {
        let is_new = self.in_use.borrow_mut().insert(id.clone());
        is_new.then(|| RequestIdInUse {
            id,
            ids: self.clone(),
        })
    }
}

impl RequestIdInUse {
    /// Returns the reserved id.
    pub(super) fn id(&self) -> &RequestId {
        &self.id
    }
}

impl Drop for RequestIdInUse {
    fn drop(&mut self) {
        self.ids.in_use.borrow_mut().remove(&self.id);
    }
}
