//! Sends snapshots to other stores in chunks.

use std::time::Duration;

use hooklug_protocol::store::SnapshotChunk;
use hooklug_raft::SnapshotMeta;
use hooklug_rpc::RpcClient;
use hooklug_types::{Digest, GroupId, NodeId};
use hooklug_wal::SnapshotStore;
use tokio::time::Instant;
use tracing::{debug, info};

use crate::AddressBook;

/// Size of a chunk in bytes.
const CHUNK_BYTES: usize = 512 << 10;
/// Timeout of the reply to a chunk. The reply to the last chunk includes the receiver's disk write.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of chunks that fail or are requested again in one transfer.
const MAX_CHUNK_RETRIES: u32 = 5;

/// A snapshot transfer.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotTransfer {
    pub(crate) group: GroupId,
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) term: u64,
    pub(crate) meta: SnapshotMeta,
}

impl SnapshotTransfer {
    /// Sends the snapshot; returns whether the receiver has the complete snapshot.
    pub(crate) async fn run(
        self,
        store: SnapshotStore,
        client: RpcClient,
        addresses: AddressBook,
    ) -> bool {
        let (group, index) = (self.group, self.meta.index);
        let read = tokio::task::spawn_blocking(move || store.read(group, index)).await;
        let data = match read {
            Ok(Ok(data)) => data,
            Ok(Err(error)) => {
                // Most likely a newer snapshot has replaced it. The transfer is retried with that
                // one.
                debug!(%group, %error, "can't read the snapshot to send");
                return false;
            }
            Err(_) => return false,
        };
        info!(%group, to = %self.to, index, bytes = data.len(), "sending a snapshot");
        self.send_chunks(&data, &client, &addresses).await
    }

    async fn send_chunks(&self, data: &[u8], client: &RpcClient, addresses: &AddressBook) -> bool {
        let digest = Digest::of(data);
        let (mut offset, mut retries) = (0, 0);
        while retries <= MAX_CHUNK_RETRIES {
            let Some(address) = addresses.get(self.to) else { return false };
            let chunk = self.chunk(data, offset, digest);
            let (end, is_last) = (offset + chunk.data.len(), chunk.digest.is_some());
            let answer = client.call(address, &chunk, Instant::now() + CHUNK_TIMEOUT).await;
            let next = match answer {
                Ok(Ok(progress)) => usize::try_from(progress.next_offset).unwrap_or(0),
                Ok(Err(fault)) => {
                    debug!(group = %self.group, to = %self.to, %fault, "receiver rejected the snapshot");
                    return false;
                }
                Err(error) => {
                    debug!(group = %self.group, to = %self.to, %error, "can't send a snapshot chunk");
                    retries += 1;
                    continue;
                }
            };
            if next == end && is_last {
                return true;
            }
            if next != end {
                retries += 1;
            }
            offset = next.min(data.len());
        }
        false
    }

    fn chunk(&self, data: &[u8], offset: usize, digest: Digest) -> SnapshotChunk {
        let end = data.len().min(offset + CHUNK_BYTES);
        SnapshotChunk {
            to: self.to,
            from: self.from,
            term: self.term,
            group: self.group,
            meta: self.meta.clone(),
            offset: offset as u64,
            data: data[offset..end].to_vec(),
            digest: (end == data.len()).then_some(digest),
        }
    }
}
