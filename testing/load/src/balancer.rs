//! Which entry daemon a request goes to, as the platform's balancer chooses it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use cicadabend::caller_api::PATH_READY;

use crate::http_client::HttpClient;

/// How often readiness is asked for.
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// After what silence an entry daemon counts as not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// The targets of a run and which of them are ready.
#[derive(Debug)]
pub struct Balancer {
    targets: Vec<SocketAddr>,
    ready: RefCell<Vec<bool>>,
    next: Cell<usize>,
}

impl Balancer {
    /// Makes a balancer over targets, all of them ready.
    pub fn new(targets: Vec<SocketAddr>) -> Self {
        let ready = RefCell::new(vec![true; targets.len()]);
        Self {
            targets,
            ready,
            next: Cell::new(0),
        }
    }

    /// Returns the next ready target other than this one, or any if none is ready.
    pub fn choose(&self, not: Option<SocketAddr>) -> Option<SocketAddr> {
        let start = self.next.get();
        self.next.set(start.wrapping_add(1));
        let count = self.targets.len();
        let order = (0..count).map(|step| (start + step) % count);
        let ready = self.ready.borrow();
        let other = |index: &usize| ready[*index] && Some(self.targets[*index]) != not;
        let chosen = order.clone().find(other);
        let chosen = chosen.or_else(|| order.clone().find(|index| ready[*index]));
        let index = chosen.or_else(|| order.clone().next())?;
        self.targets.get(index).copied()
    }

    /// Asks each target whether it is ready, for as long as the run lasts.
    pub async fn watch(self: Rc<Self>, client: HttpClient) {
        loop {
            for (index, target) in self.targets.iter().enumerate() {
                let asked = client.get(*target, PATH_READY);
                let answer = tokio::time::timeout(READY_TIMEOUT, asked).await;
                let is_ready = matches!(answer, Ok(Ok((status, _))) if status.is_success());
                self.ready.borrow_mut()[index] = is_ready;
            }
            tokio::time::sleep(READY_INTERVAL).await;
        }
    }
}
