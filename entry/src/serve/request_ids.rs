//! Ids of the requests that are in progress at this daemon.

use std::{
    cell::RefCell,
    collections::HashSet,
    rc::Rc, //
};

use cicadabend::prelude::*;

/// The ids in use; clones share them.
#[derive(Clone, Default)]
pub(super) struct RequestIds {
    in_use: Rc<RefCell<HashSet<RequestId>>>,
}

/// One id, in use until this is dropped.
///
/// Engines resume and cancel by request id. Two requests in progress under one id
/// would stop each other, or get the rest of the other's answer.
pub(super) struct RequestIdInUse {
    id: RequestId,
    ids: RequestIds,
}

impl RequestIds {
    /// Takes an id; `None` if a request in progress has it.
    pub(super) fn take(&self, id: RequestId) -> Option<RequestIdInUse> {
        let is_new = self.in_use.borrow_mut().insert(id.clone());
        is_new.then(|| RequestIdInUse {
            id,
            ids: self.clone(),
        })
    }
}

impl RequestIdInUse {
    /// Returns the id.
    pub(super) fn id(&self) -> &RequestId {
        &self.id
    }
}

impl Drop for RequestIdInUse {
    fn drop(&mut self) {
        self.ids.in_use.borrow_mut().remove(&self.id);
    }
}
