//! Messages to other stores: what gathers for one store while a frame is under way shares the next.

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

/// Messages that may wait for one store; more are dropped, consensus sends them again.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// Messages in one frame at most.
const MAX_FRAME_MESSAGES: usize = 1_024;
/// Entries in one frame, in bytes; a frame holds at least one message.
const MAX_FRAME_ENTRY_BYTES: usize = 4 << 20;
/// Frames to one store that may be unanswered.
const MAX_INFLIGHT_FRAMES: usize = 16;
/// Time after which a frame counts as lost.
const FRAME_TIME: Duration = Duration::from_secs(1);
/// Pause after a store could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct PeerQueue {
    messages: Mutex<Vec<(GroupId, Message)>>,
    filled: Notify,
}

/// Queues by store, each with a task of its own.
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

    /// Queues messages of one group.
    pub(crate) fn send(&mut self, group: GroupId, messages: Vec<Message>) {
        for message in messages {
            let peer = self.peer(message.to);
            let mut queue = peer.messages.lock().unwrap_or_else(PoisonError::into_inner);
            if queue.len() < MAX_QUEUED_MESSAGES {
                queue.push((group, message));
            }
        }
    }

    /// Starts the sending of what was queued.
    pub(crate) fn flush(&self) {
        for peer in self.peers.values() {
            let is_empty = peer.messages.lock().unwrap_or_else(PoisonError::into_inner).is_empty();
            if !is_empty {
                peer.filled.notify_one();
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
        self.peers.values().for_each(|peer| peer.filled.notify_one());
    }
}

/// Sends frames to one store until its queue is gone.
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
        let messages = take_frame(&peer);
        if messages.is_empty() {
            tokio::select! {
                () = peer.filled.notified() => {}
                Some(()) = inflight.next() => {}
            }
            continue;
        }
        // Without an address the messages are dropped; consensus sends them again.
        if let Some(address) = addresses.get(node) {
            let client = client.clone();
            inflight.push(async move {
                let batch = RaftBatch { to: node, messages };
                let called = client.call(address, &batch, Instant::now() + FRAME_TIME).await;
                if let Err(error) = called {
                    debug!(%node, %error, "a frame of raft messages was lost");
                    tokio::time::sleep(UNREACHABLE_PAUSE).await;
                }
            });
        }
    }
}

fn take_frame(peer: &PeerQueue) -> Vec<(GroupId, Message)> {
    let mut queue = peer.messages.lock().unwrap_or_else(PoisonError::into_inner);
    let mut bytes = 0;
    let mut fits = |(_, message): &(GroupId, Message)| {
        bytes += entry_bytes(message);
        bytes <= MAX_FRAME_ENTRY_BYTES
    };
    let count = queue.iter().take(MAX_FRAME_MESSAGES).take_while(|m| fits(m)).count();
    let count = count.max(1).min(queue.len());
    if count == queue.len() {
        return std::mem::take(&mut *queue);
    }
    queue.drain(..count).collect()
}

fn entry_bytes(message: &Message) -> usize {
    let MessageBody::Append { entries, .. } = &message.body else { return 0 };
    let command = |kind: &EntryKind| match kind {
        EntryKind::Command(command) => command.len(),
        EntryKind::Noop | EntryKind::ConfChange(_) => 0,
    };
    entries.iter().map(|entry| command(&entry.kind)).sum()
}
