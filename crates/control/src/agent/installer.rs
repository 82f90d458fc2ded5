//! Installs bundles: whenever a newer record is heard of, fetches the sections whose digest is new and
//! switches over in one step. Never installs an older one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::try_join_all;
use futures::stream::FuturesUnordered;
use hooklug_bundle::{Bundle, BundleHeader, DecodeError};
use hooklug_protocol::control::FetchSection;
use hooklug_rpc::RpcClient;
use hooklug_state::meta::{BundleRecord, MetaAnswer, MetaQuery};
use hooklug_types::{BundleVersion, Digest, NodeRole};
use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use super::sections::Section;
use super::{CALL_TIME, NewsSource, Shared};
use crate::figures;
use crate::handle::InstalledBundle;

/// Name of this reason for not being ready.
pub(super) const COMPONENT: &str = "bundle";

/// Pause after a bundle could not be fetched (ours).
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a quorum is asked again, when it could not be reached at the start (ours).
const ASK_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait of a node for others to tell it of a version, in milliseconds (ours: 1 a known node, so that
/// at most about a thousand nodes a second ask the stores).
const MOST_PATIENCE_MILLIS: u64 = 500;

/// Sections under way at once (ours): a first installation fetches some 260, and all nodes may do so at once.
const FETCHES_AT_ONCE: usize = 16;

/// Silence of a source of a section after which the next one is asked too (ours): some round trips.
const SOURCE_PATIENCE: Duration = Duration::from_millis(100);

/// Peers asked for a section before the stores (ours).
const PEERS_ASKED: usize = 2;

/// Why a bundle could not be installed now.
#[derive(Debug, thiserror::Error)]
enum InstallError {
    #[error("no node within reach has section {name} ({digest})")]
    Missing { name: String, digest: Digest },
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

pub(super) async fn run(shared: Arc<Shared>) {
    tokio::join!(ask_quorum_at_start(&shared), follow_news(&shared), install_heard(&shared));
}

/// Until this node has the newest bundle that a quorum knew at its start, it is not ready.
async fn ask_quorum_at_start(shared: &Shared) {
    let newest = loop {
        if let Some(newest) = ask_quorum(shared).await {
            break newest;
        }
        tokio::time::sleep(ASK_PAUSE).await;
    };
    if let Some(record) = newest {
        let reason = format!("bundle {} is not installed yet", record.version);
        shared.readiness.unready(COMPONENT, reason);
        let mut installed = shared.bundle.subscribe();
        let wanted = record.version;
        // The sender lives as long as `shared`, so the wait only ends by the condition.
        let _ =
            installed.wait_for(|b| b.as_ref().is_some_and(|b| b.record.version >= wanted)).await;
    }
    shared.readiness.ready(COMPONENT);
    shared.newest_bundle.send_replace(true);
}

/// The newest bundle by a linearizable read; `None` when no quorum answered.
async fn ask_quorum(shared: &Shared) -> Option<Option<BundleRecord>> {
    let answer = shared.state.query_meta(&MetaQuery::NewestBundle, shared.deadline()).await;
    if let Err(error) = &answer {
        let stores = shared.stores.borrow().len();
        debug!(%error, stores, "no quorum tells the newest bundle");
    }
    let answer = answer.ok()?;
    let MetaAnswer::NewestBundle(newest) = answer else { return None };
    shared.reach.store_answered();
    if let Some(record) = &newest {
        shared.heard_of(record, NewsSource::Quorum);
    }
    shared.quorum_answered.send_replace(true);
    Some(newest)
}

/// Peers name versions on each frame; a newer one is looked up at a quorum.
async fn follow_news(shared: &Shared) {
    let mut news = shared.identity.bundles.watch_newest();
    loop {
        let named = *news.borrow_and_update();
        let heard = shared.heard.borrow().as_ref().map_or(BundleVersion(0), |r| r.version);
        if named > heard {
            if !told_meanwhile(shared, named).await {
                ask_quorum(shared).await;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        } else if news.changed().await.is_err() {
            return;
        }
    }
}

/// Waits a little for the view or a heartbeat to tell of the version; the more nodes there are, the longer,
/// so that not all of them ask the stores at once.
async fn told_meanwhile(shared: &Shared, version: BundleVersion) -> bool {
    let most = shared.peers().count().min(MOST_PATIENCE_MILLIS);
    let patience = Duration::from_millis(rand::rng().random_range(0..=most));
    let mut heard = shared.heard.subscribe();
    let told = heard.wait_for(|r| r.as_ref().is_some_and(|r| r.version >= version));
    matches!(tokio::time::timeout(patience, told).await, Ok(Ok(_)))
}

/// Installs what is heard of. Nothing before a quorum has answered: a core that lags may tell of a bundle older than
/// the one that a former run of this process had in force.
async fn install_heard(shared: &Shared) {
    let mut answered = shared.quorum_answered.subscribe();
    // The sender lives as long as `shared`, so the wait only ends by the condition.
    let _ = answered.wait_for(|answered| *answered).await;
    let mut heard = shared.heard.subscribe();
    loop {
        let record = heard.borrow_and_update().clone();
        let installed = shared.identity.bundles.installed();
        match record.filter(|record| record.version > installed) {
            Some(record) => {
                if let Err(error) = install(shared, record).await {
                    figures::bundle_not_fetched();
                    warn!(%error, "bundle not installed yet");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            None if heard.changed().await.is_err() => return,
            None => {}
        }
    }
}

async fn install(shared: &Shared, record: BundleRecord) -> Result<(), InstallError> {
    let held = shared.bundle.borrow().clone();
    let (held_bundle, held_sections) = match &held {
        Some(held) => (held.bundle.clone(), held.record.sections.clone()),
        None => (Bundle::default(), BTreeMap::new()),
    };
    // The operators' text is read back from the stores; a node has no use for it.
    let differs = |(name, digest): &(&String, &Digest)| {
        !hooklug_bundle::is_operators_text(name) && held_sections.get(*name) != Some(*digest)
    };
    let fetched = fetch_all(shared, record.sections.iter().filter(differs)).await?;
    let gone = held_sections.keys().filter(|name| !record.sections.contains_key(*name));
    let header = BundleHeader { version: record.version, base: record.base };
    let changed = fetched.iter().map(|(name, (_, bytes))| (name.as_str(), Some(&**bytes)));
    let changed = changed.chain(gone.map(|name| (name.as_str(), None)));
    let bundle = hooklug_bundle::with_sections(&held_bundle, header, changed)?;
    let bytes: usize = fetched.values().map(|(_, section)| section.len()).sum();
    shared.sections().replace(&record.sections, fetched.into_values());
    let version = record.version;
    shared.bundle.send_replace(Some(Arc::new(InstalledBundle { record, bundle })));
    shared.identity.bundles.set_installed(version);
    shared.heartbeat_due.notify_one();
    figures::bundle_installed(version.0);
    info!(%version, fetched = bytes, "bundle in force");
    Ok(())
}

/// Sections by name, with their digests.
type Fetched = BTreeMap<String, (Digest, Section)>;

async fn fetch_all<'a>(
    shared: &Shared,
    wanted: impl Iterator<Item = (&'a String, &'a Digest)>,
) -> Result<Fetched, InstallError> {
    let wanted: Vec<(&String, &Digest)> = wanted.collect();
    shared.sections().want(&wanted.iter().map(|(_, digest)| **digest).collect());
    // Connections to peers end with the installation; kept, each would ping for ever.
    let peers = RpcClient::new(shared.identity.clone());
    let slots = Semaphore::new(FETCHES_AT_ONCE);
    let fetches = wanted.into_iter().map(|(name, digest)| async {
        let _slot = slots.acquire().await;
        let bytes = fetch(shared, &peers, digest).await;
        let missing = || InstallError::Missing { name: name.clone(), digest: *digest };
        Ok::<_, InstallError>((name.clone(), (*digest, bytes.ok_or_else(missing)?)))
    });
    Ok(try_join_all(fetches).await?.into_iter().collect())
}

/// A section from this node, a core, a few peers, or the stores, whoever has it first; always checked.
async fn fetch(shared: &Shared, peers: &RpcClient, digest: &Digest) -> Option<Section> {
    let held = shared.sections().get(digest);
    if held.is_some() {
        return held;
    }
    let section: Section = fetch_bytes(shared, peers, digest).await?.into();
    shared.sections().keep(*digest, section.clone());
    Some(section)
}

/// Asks one source after the other, the next one whenever the last asked has been silent for [`SOURCE_PATIENCE`] or has
/// nothing; those asked before may still answer.
async fn fetch_bytes(shared: &Shared, peers: &RpcClient, digest: &Digest) -> Option<Vec<u8>> {
    let mut sources = sources(shared).into_iter();
    let mut asked = FuturesUnordered::new();
    loop {
        let next = sources.next();
        let is_last = next.is_none();
        asked.extend(next.map(|source| ask(shared, peers, source, digest)));
        let patience = if is_last { CALL_TIME } else { SOURCE_PATIENCE };
        match timeout(patience, asked.next()).await {
            Ok(Some(Some(bytes))) => return Some(bytes),
            Ok(None) if is_last => return None,
            _ => {}
        }
    }
}

/// Who may hold a section.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// A core.
    Core(SocketAddr),
    /// Any other process.
    Peer(SocketAddr),
    /// The stores' meta group.
    Stores,
}

/// Cores first, then a few peers, and the stores last, so that they are spared.
fn sources(shared: &Shared) -> Vec<Source> {
    let cores = cores(shared).into_iter().map(Source::Core);
    let peers = some_peers(shared).into_iter().map(Source::Peer);
    cores.chain(peers).chain([Source::Stores]).collect()
}

/// A section's bytes from one source, if it has them whole.
async fn ask(
    shared: &Shared,
    peers: &RpcClient,
    source: Source,
    digest: &Digest,
) -> Option<Vec<u8>> {
    let request = FetchSection { digest: *digest };
    let deadline = shared.deadline();
    let bytes = match source {
        Source::Core(core) => shared.client.call(core, &request, deadline).await.ok()?,
        Source::Peer(peer) => peers.call(peer, &request, deadline).await.ok()?,
        Source::Stores => section_of_stores(shared, digest).await,
    };
    bytes.filter(|bytes| Digest::of(bytes) == *digest)
}

async fn section_of_stores(shared: &Shared, digest: &Digest) -> Option<Vec<u8>> {
    let query = MetaQuery::Section(*digest);
    match shared.state.query_meta(&query, shared.deadline()).await {
        Ok(MetaAnswer::Section(section)) => section,
        _ => None,
    }
}

/// One core at random, so that they share the work, then the leader, which is the first to hold a new bundle.
fn cores(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.identity.address.rpc;
    let leader = *shared.leader.borrow();
    let mut cores = shared.peers().addresses(NodeRole::Core);
    cores.retain(|core| *core != own);
    let first = cores.choose(&mut rand::rng()).copied();
    let then = leader.filter(|leader| *leader != own && Some(*leader) != first);
    first.into_iter().chain(then).collect()
}

/// A few others at random.
fn some_peers(shared: &Shared) -> Vec<SocketAddr> {
    shared.peers().sample(PEERS_ASKED, &mut rand::rng())
}
