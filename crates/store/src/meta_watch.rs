//! Keeps the newest meta state that this store knows, and the addresses in it.

use std::sync::Arc;
use std::time::Duration;

use hooklug_state::meta::{MetaAnswer, MetaQuery, MetaState, StoreRecord};
use hooklug_state::{decode, encode};
use hooklug_types::META_GROUP;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::StateAccess;
use crate::shared::Shared;

/// Time between looks at a replica on this store.
const LOCAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between questions to the meta group.
const REMOTE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for one question to the meta group.
const QUESTION_TIME: Duration = Duration::from_secs(3);

/// Runs for the life of the process.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let pause = match local(&shared).await {
            Some(meta) => {
                publish(&shared, meta).await;
                LOCAL_INTERVAL
            }
            None => {
                if let Some(meta) = remote(&shared).await {
                    publish(&shared, meta).await;
                }
                REMOTE_INTERVAL
            }
        };
        shared.publish_stores();
        tokio::time::sleep(pause).await;
    }
}

/// The state of the replica here, if there is one that knows the cluster.
async fn local(shared: &Shared) -> Option<MetaState> {
    let query = encode(&MetaQuery::State);
    let answer = shared.replicator.read_local(META_GROUP, query).await.ok()?;
    match decode("meta answer", &answer).ok()? {
        MetaAnswer::State(state) if state.cluster != 0 => Some(*state),
        _ => None,
    }
}

async fn remote(shared: &Shared) -> Option<MetaState> {
    if !shared.is_member() {
        return None;
    }
    let deadline = Instant::now() + QUESTION_TIME;
    match shared.access.query_meta(&MetaQuery::State, deadline).await.ok()? {
        MetaAnswer::State(state) => Some(*state),
        _ => None,
    }
}

async fn publish(shared: &Arc<Shared>, meta: MetaState) {
    for store in &meta.stores {
        shared.addresses.note(store.node, store.incarnation, store.address);
    }
    if let Some(bundle) = &meta.bundle {
        shared.identity.bundles.note_committed(bundle.version);
    }
    if shared.meta.borrow().stores != meta.stores {
        note_stores(shared, meta.stores.clone()).await;
    }
    let version = |state: &MetaState| state.bundle.as_ref().map(|bundle| bundle.version);
    if version(&meta) > version(&shared.meta.borrow()) {
        info!(version = ?version(&meta), "a bundle is committed");
    }
    shared.meta.send_if_modified(|known| {
        let differs = **known != meta;
        if differs {
            *known = Arc::new(meta);
        }
        differs
    });
}

/// Writes the cluster's stores to the disk, which blocks.
async fn note_stores(shared: &Arc<Shared>, stores: Vec<StoreRecord>) {
    let shared = shared.clone();
    let writing = tokio::task::spawn_blocking(move || shared.folder.note_stores(&stores));
    if let Ok(Err(error)) = writing.await {
        warn!(%error, "the cluster's stores are not noted on the disk");
    }
}
