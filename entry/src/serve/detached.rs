//! Requests that go on when their caller leaves.
//!
//! A caller of a request that must run at most once often loses its connection and
//! sends it again. Were the first one stopped then, nobody would know its outcome;
//! so it runs to its end, and the resend gets its answer.

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
        BodyError, //
        ResponseBody,
    },
    drive,
    response::Refusal,
    server::Server,
    spec::Spec,
};

/// How many frames wait for a caller that reads slowly.
const FRAME_CAPACITY: usize = 8;

/// Counts the requests that go on by themselves; the daemon stops after the last one.
#[derive(Default)]
pub(super) struct Detached {
    count: Cell<u32>,
    ended: Notify,
}

struct Running(Rc<Detached>);

impl Detached {
    /// Waits until none is running.
    pub(super) async fn all_ended(&self) {
        while self.count.get() > 0 {
            self.ended.notified().await;
        }
    }
}

impl Running {
    fn start(all: &Rc<Detached>) -> Self {
        all.count.set(all.count.get() + 1);
        Self(Rc::clone(all))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}

/// Answers a request by a task of its own.
pub(super) async fn answer(
    server: &Rc<Server>,
    spec: Spec,
) -> Result<Response<ResponseBody>, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let running = Running::start(&server.detached);
    let server = Rc::clone(server);
    tokio::task::spawn_local(async move {
        match drive::drive(&server, spec).await {
            Ok(answer) => relay(&server, answer, sender).await,
            // A caller that has left needs no answer.
            Err(refusal) => drop(sender.send(Err(refusal))),
        }
        drop(running);
    });
    let ended = Refusal::new(ErrorCode::OutcomeUnknown, "The request's task ended.");
    receiver.await.unwrap_or(Err(ended))
}

type Answered = Result<Response<ResponseBody>, Refusal>;

/// Passes an answer on as long as the caller is there, and reads it to its end.
async fn relay(server: &Server, answer: Response<ResponseBody>, sender: oneshot::Sender<Answered>) {
    let (frames, relayed) = mpsc::channel(FRAME_CAPACITY);
    let (head, body) = answer.into_parts();
    let answer = Response::from_parts(head, ResponseBody::Relayed(relayed));
    let is_there = sender.send(Ok(answer)).is_ok();
    let limit = Duration::from_millis(server.settings.callers.first_byte_timeout_ms);
    read_to_end(server, body, frames, is_there, limit).await;
}

/// Reads an answer to its end; the caller gets the last of it once the outcome is recorded.
async fn read_to_end(
    server: &Server,
    mut body: ResponseBody,
    frames: mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    mut is_there: bool,
    limit: Duration,
) {
    loop {
        // Without a caller nobody ends a silent answer; then its outcome stays unknown.
        let frame = match is_there {
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
        if is_there {
            is_there = frames.send(frame).await.is_ok();
        }
    }
}
