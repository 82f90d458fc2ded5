//! Keeps this store's copy of the meta state, and the addresses of the stores in it, up to date.

use std::sync::Arc;
use std::time::Duration;

use hooklug_state::meta::{MetaAnswer, MetaQuery, MetaState, StoreRecord};
use hooklug_state::{decode, encode};
use hooklug_types::META_GROUP;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::StateAccess;
use crate::shared::Shared;

/// Interval between reads of a replica of the meta group on this store.
const LOCAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between remote queries of the meta group, while this store has no replica of it.
const REMOTE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of one remote query of the meta group.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Refreshes the meta state until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let pause = match read_local(&shared).await {
            Some(meta) => {
                publish(&shared, meta).await;
                LOCAL_INTERVAL
            }
            None => {
                if let Some(meta) = query_remote(&shared).await {
                    publish(&shared, meta).await;
                }
                REMOTE_INTERVAL
            }
        };
        shared.publish_stores();
        tokio::time::sleep(pause).await;
    }
}

/// Reads the meta state from the replica on this store, if there is one and it knows the cluster.
async fn read_local(shared: &Shared) -> Option<MetaState> {
    let query = encode(&MetaQuery::State);
    let answer = shared.replicator.read_local(META_GROUP, query).await.ok()?;
    match decode("meta answer", &answer).ok()? {
        MetaAnswer::State(state) if state.cluster != 0 => Some(*state),
        _ => None,
    }
}

async fn query_remote(shared: &Shared) -> Option<MetaState> {
    if !shared.is_member() {
        return None;
    }
    let deadline = Instant::now() + QUERY_TIMEOUT;
    match shared.access.query_meta(&MetaQuery::State, deadline).await.ok()? {
        MetaAnswer::State(state) => Some(*state),
        _ => None,
    }
}

async fn publish(shared: &Arc<Shared>, meta: MetaState) {
    for store in &meta.stores {
        shared.addresses.record(store.node, store.incarnation, store.address);
    }
    if let Some(bundle) = &meta.bundle {
        shared.identity.bundles.note_committed(bundle.version);
    }
    if shared.meta.borrow().stores != meta.stores {
        save_stores(shared, meta.stores.clone()).await;
    }
    let version = |state: &MetaState| state.bundle.as_ref().map(|bundle| bundle.version);
    if version(&meta) > version(&shared.meta.borrow()) {
        info!(version = ?version(&meta), "learned of a newly committed bundle");
    }
    shared.meta.send_if_modified(|known| {
        let differs = **known != meta;
        if differs {
            *known = Arc::new(meta);
        }
        differs
    });
}

/// Saves the list of the cluster's stores to disk, on a thread that may block.
async fn save_stores(shared: &Arc<Shared>, stores: Vec<StoreRecord>) {
    let shared = shared.clone();
    let writing = tokio::task::spawn_blocking(move || shared.folder.save_stores(&stores));
    if let Ok(Err(error)) = writing.await {
        warn!(%error, "failed to save the list of the cluster's stores to disk");
    }
}
