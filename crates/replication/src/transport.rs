//! Sends raft messages to other stores. Messages to a store that are queued while frames are in
//! flight share the next frame.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hooklug_protocol::store::RaftBatch;
use hooklug_raft::{EntryKind, Message, MessageBody};
use hooklug_rpc::RpcClient;
use hooklug_types::{GroupId, NodeId};
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::debug;

use crate::AddressBook;

/// Maximum number of messages queued for a store. Further messages are dropped; raft resends them.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// Maximum size of the entries queued for a store, which limits the memory used for an unresponsive
/// store.
const MAX_QUEUED_ENTRY_BYTES: usize = 64 << 20;
/// Maximum number of messages in a frame.
const MAX_FRAME_MESSAGES: usize = 1_024;
/// Maximum size of the entries in a frame. A single message may exceed it.
const MAX_FRAME_ENTRY_BYTES: usize = 4 << 20;
/// Maximum number of unacknowledged frames to a store.
const MAX_INFLIGHT_FRAMES: usize = 16;
/// Timeout after which a frame is considered lost.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a frame was lost.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct PeerQueue {
    queue: Mutex<MessageQueue>,
    not_empty: Notify,
}

#[derive(Debug, Default)]
struct MessageQueue {
    messages: Vec<(GroupId, Message)>,
    entry_bytes: usize,
}

impl MessageQueue {
    fn push(&mut self, group: GroupId, message: Message) {
        let bytes = entry_bytes(&message);
        let is_full = self.messages.len() >= MAX_QUEUED_MESSAGES
            || self.entry_bytes + bytes > MAX_QUEUED_ENTRY_BYTES;
        if !is_full {
            self.entry_bytes += bytes;
            self.messages.push((group, message));
        }
    }

    /// Removes and returns the messages of the next frame.
    fn take_frame(&mut self) -> Vec<(GroupId, Message)> {
        let mut bytes = 0;
        let mut fits = |(_, message): &(GroupId, Message)| {
            bytes += entry_bytes(message);
            bytes <= MAX_FRAME_ENTRY_BYTES
        };
        let first = self.messages.iter().take(MAX_FRAME_MESSAGES);
        let count = first.take_while(|m| fits(m)).count().max(1).min(self.messages.len());
        if count == self.messages.len() {
            return std::mem::take(self).messages;
        }
        let frame: Vec<_> = self.messages.drain(..count).collect();
        self.entry_bytes -= frame.iter().map(|(_, message)| entry_bytes(message)).sum::<usize>();
        frame
    }
}

/// The message queues by store, each drained by its own task.
#[derive(Debug)]
pub(crate) struct Transport {
    client: RpcClient,
    addresses: AddressBook,
    runtime: Handle,
    peers: BTreeMap<NodeId, Arc<PeerQueue>>,
}

impl Transport {
    pub(crate) fn new(client: RpcClient, addresses: AddressBook, runtime: Handle) -> Self {
        Self { client, addresses, runtime, peers: BTreeMap::new() }
    }

    /// Queues messages of a group.
    pub(crate) fn send(&mut self, group: GroupId, messages: Vec<Message>) {
        for message in messages {
            let peer = self.peer(message.to);
            let mut queue = peer.queue.lock().unwrap_or_else(PoisonError::into_inner);
            queue.push(group, message);
        }
    }

    /// Notifies the tasks whose queues are not empty.
    pub(crate) fn flush(&self) {
        for peer in self.peers.values() {
            let queue = peer.queue.lock().unwrap_or_else(PoisonError::into_inner);
            let is_empty = queue.messages.is_empty();
            drop(queue);
            if !is_empty {
                peer.not_empty.notify_one();
            }
        }
    }

    fn peer(&mut self, node: NodeId) -> &PeerQueue {
        self.peers.entry(node).or_insert_with(|| {
            let queue = Arc::new(PeerQueue::default());
            let (client, addresses) = (self.client.clone(), self.addresses.clone());
            self.runtime.spawn(send_frames(node, Arc::downgrade(&queue), client, addresses));
            queue
        })
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.peers.values().for_each(|peer| peer.not_empty.notify_one());
    }
}

/// Sends frames to a store until its queue is dropped.
async fn send_frames(
    node: NodeId,
    queue: std::sync::Weak<PeerQueue>,
    client: RpcClient,
    addresses: AddressBook,
) {
    let mut inflight = FuturesUnordered::new();
    while let Some(peer) = queue.upgrade() {
        while inflight.len() >= MAX_INFLIGHT_FRAMES {
            inflight.next().await;
        }
        let messages = peer.queue.lock().unwrap_or_else(PoisonError::into_inner).take_frame();
        if messages.is_empty() {
            tokio::select! {
                () = peer.not_empty.notified() => {}
                Some(()) = inflight.next() => {}
            }
            continue;
        }
        // Without a known address the messages are dropped; raft resends them.
        if let Some(address) = addresses.get(node) {
            let client = client.clone();
            inflight.push(async move {
                let batch = RaftBatch { to: node, messages };
                let called = client.call(address, &batch, Instant::now() + FRAME_TIMEOUT).await;
                if let Err(error) = called {
                    debug!(%node, %error, "can't send a frame of raft messages");
                    tokio::time::sleep(UNREACHABLE_DELAY).await;
                }
            });
        }
    }
}

fn entry_bytes(message: &Message) -> usize {
    let MessageBody::Append { entries, .. } = &message.body else { return 0 };
    let command = |kind: &EntryKind| match kind {
        EntryKind::Command(command) => command.len(),
        EntryKind::Noop | EntryKind::ConfChange(_) => 0,
    };
    entries.iter().map(|entry| command(&entry.kind)).sum()
}
