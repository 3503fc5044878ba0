//! Requests that continue after their caller has disconnected.
//!
//! A caller often loses its connection and then retries a request that must run at most once. If
//! the disconnect cancelled the first request, its outcome would be unknown. So that request runs
//! to its end, and the client retry gets its response.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::caller_api::ErrorCode;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::{
    sync::{
        Notify,
        mpsc,
        oneshot, //
    },
    time::timeout,
};

use super::{
    body::{
        BodyError,
        ResponseBody, //
    },
    drive,
    response::Refusal,
    server::Server,
    spec::Spec,
};

/// Number of frames that are buffered for a caller that reads slowly.
const FRAME_CAPACITY: usize = 8;

/// Counts the detached requests that run; the daemon stops after the last one has ended.
#[derive(Default)]
pub(super) struct Detached {
    count: Cell<u32>,
    ended: Notify,
}

/// Counts one detached request as running until it is dropped.
struct DetachedGuard(Rc<Detached>);

impl Detached {
    /// Waits until no detached request runs.
    pub(super) async fn all_ended(&self) {
        while self.count.get() > 0 {
            self.ended.notified().await;
        }
    }
}

impl DetachedGuard {
    fn start(all: &Rc<Detached>) -> Self {
        all.count.set(all.count.get() + 1);
        Self(Rc::clone(all))
    }
}

impl Drop for DetachedGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}

/// Runs a request in a task of its own, and returns the response that the task relays.
pub(super) async fn answer(
    server: &Rc<Server>,
    spec: Spec,
) -> Result<Response<ResponseBody>, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let running = DetachedGuard::start(&server.detached);
    let server = Rc::clone(server);
    tokio::task::spawn_local(async move {
        match drive::drive(&server, spec).await {
            Ok(answer) => relay(&server, answer, sender).await,
            // A failed send means that the caller has disconnected.
            Err(refusal) => drop(sender.send(Err(refusal))),
        }
        drop(running);
    });
    let ended = Refusal::new(ErrorCode::OutcomeUnknown, "The request's task ended.");
    receiver.await.unwrap_or(Err(ended))
}

type ResponseResult = Result<Response<ResponseBody>, Refusal>;

/// Relays a response while the caller is connected, and reads it to its end in any case.
async fn relay(
    server: &Server,
    answer: Response<ResponseBody>,
    sender: oneshot::Sender<ResponseResult>,
) {
    let (frames, relayed) = mpsc::channel(FRAME_CAPACITY);
    let (parts, body) = answer.into_parts();
    let answer = Response::from_parts(parts, ResponseBody::Relayed(relayed));
    let is_caller_connected = sender.send(Ok(answer)).is_ok();
    let limit = Duration::from_millis(server.settings.callers.first_byte_timeout_ms);
    read_to_end(server, body, frames, is_caller_connected, limit).await;
}

/// Reads a response to its end; the caller gets the last frame once the outcome is recorded.
async fn read_to_end(
    server: &Server,
    mut body: ResponseBody,
    frames: mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    mut is_caller_connected: bool,
    limit: Duration,
) {
    loop {
        // Without a caller, only this time limit ends a response that stalls. The outcome is then
        // unknown.
        let frame = match is_caller_connected {
            true => body.frame().await,
            false => match timeout(limit, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return,
            },
        };
        if let Some(settling) = body.take_settling() {
            server.await_recorded(settling).await;
        }
        let Some(frame) = frame else { return };
        if is_caller_connected {
            is_caller_connected = frames.send(frame).await.is_ok();
        }
    }
}
