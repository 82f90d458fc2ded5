//! Replies that are given later and from any thread, without a task that waits for them.

use std::marker::PhantomData;

use serde::Serialize;
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;

use crate::Fault;
use crate::frame::ServerBody;
use crate::router::encode_reply;
use crate::server::{Answers, reply_body};

/// Where the reply to one request goes. Dropped without a reply, it answers that the handler failed.
#[derive(Debug)]
pub struct Replier<T> {
    raw: RawReplier,
    reply: PhantomData<fn(T)>,
}

impl<T: Serialize> Replier<T> {
    pub(crate) fn new(raw: RawReplier) -> Self {
        Self { raw, reply: PhantomData }
    }

    /// Answers the request. Does not wait, and may be called outside of the runtime.
    pub fn send(mut self, reply: &T) {
        self.raw.send(reply_body(self.raw.id, encode_reply(reply)));
    }
}

/// A [`Replier`] of any type.
#[derive(Debug)]
pub(crate) struct RawReplier {
    id: u64,
    /// `None` once it is used.
    answers: Option<Answers>,
    runtime: Handle,
}

impl RawReplier {
    /// Must be made within the runtime.
    pub(crate) fn new(id: u64, answers: Answers) -> Self {
        Self { id, answers: Some(answers), runtime: Handle::current() }
    }

    pub(crate) fn fail(&mut self, fault: Fault) {
        self.send(ServerBody::Fault { id: self.id, fault });
    }

    fn send(&mut self, body: ServerBody) {
        let Some(answers) = self.answers.take() else { return };
        let Some(frame) = answers.frame(body) else { return };
        if let Err(TrySendError::Full(frame)) = answers.queue.try_send(frame) {
            // The connection is slow; the frame waits for room.
            self.runtime.spawn(async move {
                let _ = answers.queue.send(frame).await;
            });
        }
    }
}

impl Drop for RawReplier {
    fn drop(&mut self) {
        if self.answers.is_some() {
            self.fail(Fault::Failed("the handler gave no reply".to_owned()));
        }
    }
}
