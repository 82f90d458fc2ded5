//! Installs bundles: fetches the sections of a newer record whose digests changed, and switches to
//! the new bundle in one step. Never installs an older one.

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
use crate::handle::InstalledBundle;
use crate::metrics;

/// Name of this component among the reasons for not being ready.
pub(super) const COMPONENT: &str = "bundle";

/// Delay after a bundle could not be fetched.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Delay between queries of a quorum at start, while none is reachable.
const ASK_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for the view or a heartbeat to report a version, in milliseconds. The limit is 1 ms
/// per known node, so that at most about a thousand nodes per second query the stores.
const MOST_PATIENCE_MILLIS: u64 = 500;

/// Maximum number of concurrent section fetches. A first installation fetches some 260 sections,
/// and all nodes may do so at the same time.
const FETCHES_AT_ONCE: usize = 16;

/// Delay after which the next source of a section is queried too: a few round trips.
const SOURCE_PATIENCE: Duration = Duration::from_millis(100);

/// Peers queried for a section before the stores.
const PEERS_ASKED: usize = 2;

/// Why a bundle could not be installed; the installation is retried.
#[derive(Debug, thiserror::Error)]
enum InstallError {
    #[error("no reachable node has section {name} ({digest})")]
    Missing { name: String, digest: Digest },
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

pub(super) async fn run(shared: Arc<Shared>) {
    tokio::join!(ask_quorum_at_start(&shared), follow_news(&shared), install_heard(&shared));
}

/// Keeps the node unready until it has installed the newest bundle that a quorum knew at its start.
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

/// Returns the newest bundle by a linearizable read; `None` if no quorum replied.
async fn ask_quorum(shared: &Shared) -> Option<Option<BundleRecord>> {
    let answer = shared.state.query_meta(&MetaQuery::NewestBundle, shared.deadline()).await;
    if let Err(error) = &answer {
        let stores = shared.stores.borrow().len();
        debug!(%error, stores, "cannot read the newest bundle from a quorum of the stores");
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

/// Watches the bundle versions that peers announce in each frame, and queries a quorum for newer
/// ones.
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

/// Waits briefly for the view or a heartbeat to report the version, and returns whether one did.
/// The limit grows with the number of nodes, so that not all of them query the stores at once.
async fn told_meanwhile(shared: &Shared, version: BundleVersion) -> bool {
    let most = shared.peers().count().min(MOST_PATIENCE_MILLIS);
    let patience = Duration::from_millis(rand::rng().random_range(0..=most));
    let mut heard = shared.heard.subscribe();
    let told = heard.wait_for(|r| r.as_ref().is_some_and(|r| r.version >= version));
    matches!(tokio::time::timeout(patience, told).await, Ok(Ok(_)))
}

/// Installs newer bundles as they become known, but none before a quorum has replied: a lagging
/// core may report a bundle older than the one that a previous run of this process had installed.
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
                    metrics::bundle_not_fetched();
                    warn!(%error, "cannot install the bundle; retrying");
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
    // The operators' source text is read back from the stores; nodes don't need it.
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
    metrics::bundle_installed(version.0);
    info!(%version, fetched = bytes, "bundle installed");
    Ok(())
}

/// Fetched sections by name, with their digests.
type Fetched = BTreeMap<String, (Digest, Section)>;

async fn fetch_all<'a>(
    shared: &Shared,
    wanted: impl Iterator<Item = (&'a String, &'a Digest)>,
) -> Result<Fetched, InstallError> {
    let wanted: Vec<(&String, &Digest)> = wanted.collect();
    shared.sections().want(&wanted.iter().map(|(_, digest)| **digest).collect());
    // Connections to peers are closed after the installation; open ones would send pings forever.
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

/// Returns a section from the cache, or from the first core, peer or store that has it. Fetched
/// bytes are verified against the digest.
async fn fetch(shared: &Shared, peers: &RpcClient, digest: &Digest) -> Option<Section> {
    let held = shared.sections().get(digest);
    if held.is_some() {
        return held;
    }
    let section: Section = fetch_bytes(shared, peers, digest).await?.into();
    shared.sections().keep(*digest, section.clone());
    Some(section)
}

/// Queries the sources in order, the next one when the last has no section or has not replied for
/// [`HEDGE_DELAY`]. Earlier requests stay open and may still succeed.
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

/// A source from which a section can be fetched.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// A core.
    Core(SocketAddr),
    /// Any other process.
    Peer(SocketAddr),
    /// The stores' meta group.
    Stores,
}

/// Returns the sources in order: cores, then a few peers, and the stores last, to spare them load.
fn sources(shared: &Shared) -> Vec<Source> {
    let cores = cores(shared).into_iter().map(Source::Core);
    let peers = some_peers(shared).into_iter().map(Source::Peer);
    cores.chain(peers).chain([Source::Stores]).collect()
}

/// Returns the bytes of a section from one source if they match the digest.
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

/// Returns a random core, to spread the load, then the leader, which is the first to hold a new
/// bundle.
fn cores(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.identity.address.rpc;
    let leader = *shared.leader.borrow();
    let mut cores = shared.peers().addresses(NodeRole::Core);
    cores.retain(|core| *core != own);
    let first = cores.choose(&mut rand::rng()).copied();
    let then = leader.filter(|leader| *leader != own && Some(*leader) != first);
    first.into_iter().chain(then).collect()
}

/// Returns a few random peers.
fn some_peers(shared: &Shared) -> Vec<SocketAddr> {
    shared.peers().sample(PEERS_ASKED, &mut rand::rng())
}
