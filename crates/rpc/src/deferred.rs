//! Replies sent after the handler has returned, from any thread and without a task that waits.

use std::marker::PhantomData;

use serde::Serialize;
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;

use crate::Fault;
use crate::frame::ServerBody;
use crate::router::encode_reply;
use crate::server::{ReplySender, reply_body};

/// Sends the reply to one request. Dropping it without a reply reports a failed handler to the
/// caller.
#[derive(Debug)]
pub struct Replier<T> {
    raw: RawReplier,
    reply: PhantomData<fn(T)>,
}

impl<T: Serialize> Replier<T> {
    pub(crate) fn new(raw: RawReplier) -> Self {
        Self { raw, reply: PhantomData }
    }

    /// Sends the reply without waiting. May be called outside of the async runtime.
    pub fn send(mut self, reply: &T) {
        self.raw.send(reply_body(self.raw.id, encode_reply(reply)));
    }
}

/// Untyped [`Replier`].
#[derive(Debug)]
pub(crate) struct RawReplier {
    id: u64,
    /// `None` once the reply has been sent.
    replies: Option<ReplySender>,
    runtime: Handle,
}

impl RawReplier {
    /// Must be called within the async runtime.
    pub(crate) fn new(id: u64, replies: ReplySender) -> Self {
        Self { id, replies: Some(replies), runtime: Handle::current() }
    }

    pub(crate) fn fail(&mut self, fault: Fault) {
        self.send(ServerBody::Fault { id: self.id, fault });
    }

    fn send(&mut self, body: ServerBody) {
        let Some(replies) = self.replies.take() else { return };
        let Some(frame) = replies.frame(body) else { return };
        if let Err(TrySendError::Full(frame)) = replies.queue.try_send(frame) {
            // The connection's write queue is full; a task waits for capacity.
            self.runtime.spawn(async move {
                let _ = replies.queue.send(frame).await;
            });
        }
    }
}

impl Drop for RawReplier {
    fn drop(&mut self) {
        if self.replies.is_some() {
            self.fail(Fault::Failed("the handler gave no reply".to_owned()));
        }
    }
}
