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
use super::{CALL_TIMEOUT, RecordSource, Shared};
use crate::handle::InstalledBundle;
use crate::metrics;

/// Name of this component among the reasons for not being ready.
pub(super) const COMPONENT: &str = "bundle";

/// Delay after a bundle could not be fetched.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay between queries of a quorum at start, while none is reachable.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Upper limit, in milliseconds, of the random time that a node waits for the view or a heartbeat
/// to report a version. The wait is up to 1 ms per known node, so that at most about a thousand
/// nodes per second query the stores.
const MAX_UPDATE_WAIT_MILLIS: u64 = 500;

/// Maximum number of concurrent section fetches. A first installation fetches some 260 sections,
/// and all nodes may do so at the same time.
const MAX_CONCURRENT_FETCHES: usize = 16;

/// Delay after which the next source of a section is queried too: a few round trips.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Peers queried for a section before the stores.
const PEERS_PER_FETCH: usize = 2;

/// Why a bundle could not be installed; the installation is retried.
#[derive(Debug, thiserror::Error)]
enum InstallError {
    #[error("no reachable node has section {name} ({digest})")]
    Missing { name: String, digest: Digest },
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

pub(super) async fn run(shared: Arc<Shared>) {
    tokio::join!(
        wait_for_newest_bundle(&shared),
        follow_announcements(&shared),
        install_newer(&shared)
    );
}

/// Keeps the node unready until it has installed the newest bundle that a quorum knew when the
/// process started.
async fn wait_for_newest_bundle(shared: &Shared) {
    let newest = loop {
        if let Some(newest) = query_newest_bundle(shared).await {
            break newest;
        }
        tokio::time::sleep(QUERY_RETRY_DELAY).await;
    };
    if let Some(record) = newest {
        let reason = format!("bundle {} is not installed yet", record.version);
        shared.readiness.set_not_ready(COMPONENT, reason);
        let mut installed = shared.bundle.subscribe();
        let target = record.version;
        // `shared` holds the sender, so the wait ends only when the condition is met.
        let _ =
            installed.wait_for(|b| b.as_ref().is_some_and(|b| b.record.version >= target)).await;
    }
    shared.readiness.set_ready(COMPONENT);
    shared.newest_bundle.send_replace(true);
}

/// Returns the newest bundle by a linearizable read; `None` if no quorum replied.
async fn query_newest_bundle(shared: &Shared) -> Option<Option<BundleRecord>> {
    let reply = shared.state.query_meta(&MetaQuery::NewestBundle, shared.deadline()).await;
    if let Err(error) = &reply {
        let stores = shared.stores.borrow().len();
        debug!(%error, stores, "cannot read the newest bundle from a quorum of the stores");
    }
    let reply = reply.ok()?;
    let MetaAnswer::NewestBundle(newest) = reply else { return None };
    shared.reachability.record_store_reply();
    if let Some(record) = &newest {
        shared.learn_record(record, RecordSource::Quorum);
    }
    shared.quorum_replied.send_replace(true);
    Some(newest)
}

/// Watches the bundle versions that peers announce in each frame, and queries a quorum for newer
/// ones.
async fn follow_announcements(shared: &Shared) {
    let mut announced = shared.identity.bundles.watch_newest();
    loop {
        let version = *announced.borrow_and_update();
        let known = shared.newest_record.borrow().as_ref().map_or(BundleVersion(0), |r| r.version);
        if version > known {
            if !wait_for_record(shared, version).await {
                query_newest_bundle(shared).await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        } else if announced.changed().await.is_err() {
            return;
        }
    }
}

/// Waits a random time for the view or a heartbeat to report the version, and returns whether one
/// did. The wait grows with the number of nodes, so that not all of them query the stores at once.
async fn wait_for_record(shared: &Shared, version: BundleVersion) -> bool {
    let max_millis = shared.peers().count().min(MAX_UPDATE_WAIT_MILLIS);
    let limit = Duration::from_millis(rand::rng().random_range(0..=max_millis));
    let mut record = shared.newest_record.subscribe();
    let reported = record.wait_for(|r| r.as_ref().is_some_and(|r| r.version >= version));
    matches!(tokio::time::timeout(limit, reported).await, Ok(Ok(_)))
}

/// Installs newer bundles as they become known, but none before a quorum has replied: a lagging
/// core may report a bundle older than the one that a previous run of this process had installed.
async fn install_newer(shared: &Shared) {
    let mut replied = shared.quorum_replied.subscribe();
    // `shared` holds the sender, so the wait ends only when the condition is met.
    let _ = replied.wait_for(|replied| *replied).await;
    let mut records = shared.newest_record.subscribe();
    loop {
        let record = records.borrow_and_update().clone();
        let installed = shared.identity.bundles.installed();
        match record.filter(|record| record.version > installed) {
            Some(record) => {
                if let Err(error) = install(shared, record).await {
                    metrics::count_bundle_fetch_failure();
                    warn!(%error, "cannot install the bundle; retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            None if records.changed().await.is_err() => return,
            None => {}
        }
    }
}

async fn install(shared: &Shared, record: BundleRecord) -> Result<(), InstallError> {
    let installed = shared.bundle.borrow().clone();
    let (current_bundle, current_sections) = match &installed {
        Some(current) => (current.bundle.clone(), current.record.sections.clone()),
        None => (Bundle::default(), BTreeMap::new()),
    };
    // The operators' source text is read back from the stores; nodes don't need it.
    let differs = |(name, digest): &(&String, &Digest)| {
        !hooklug_bundle::is_document_section(name) && current_sections.get(*name) != Some(*digest)
    };
    let fetched = fetch_all(shared, record.sections.iter().filter(differs)).await?;
    let removed = current_sections.keys().filter(|name| !record.sections.contains_key(*name));
    let header = BundleHeader { version: record.version, base: record.base };
    let changed = fetched.iter().map(|(name, (_, bytes))| (name.as_str(), Some(&**bytes)));
    let changed = changed.chain(removed.map(|name| (name.as_str(), None)));
    let bundle = hooklug_bundle::with_sections(&current_bundle, header, changed)?;
    let bytes: usize = fetched.values().map(|(_, section)| section.len()).sum();
    shared.sections().replace(&record.sections, fetched.into_values());
    let version = record.version;
    shared.bundle.send_replace(Some(Arc::new(InstalledBundle { record, bundle })));
    shared.identity.bundles.set_installed(version);
    shared.heartbeat_due.notify_one();
    metrics::set_bundle_version(version.0);
    info!(%version, fetched = bytes, "bundle installed");
    Ok(())
}

/// Fetched sections by name, with their digests.
type Fetched = BTreeMap<String, (Digest, Section)>;

async fn fetch_all<'a>(
    shared: &Shared,
    needed: impl Iterator<Item = (&'a String, &'a Digest)>,
) -> Result<Fetched, InstallError> {
    let needed: Vec<(&String, &Digest)> = needed.collect();
    shared.sections().retain_pending(&needed.iter().map(|(_, digest)| **digest).collect());
    // Connections to peers are closed after the installation; open ones would send pings forever.
    let peers = RpcClient::new(shared.identity.clone());
    let slots = Semaphore::new(MAX_CONCURRENT_FETCHES);
    let fetches = needed.into_iter().map(|(name, digest)| async {
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
    shared.sections().insert_pending(*digest, section.clone());
    Some(section)
}

/// Queries the sources in order, the next one when the last has no section or has not replied for
/// [`HEDGE_DELAY`]. Earlier requests stay open and may still succeed.
async fn fetch_bytes(shared: &Shared, peers: &RpcClient, digest: &Digest) -> Option<Vec<u8>> {
    let mut sources = sources(shared).into_iter();
    let mut requests = FuturesUnordered::new();
    loop {
        let next = sources.next();
        let is_last = next.is_none();
        requests.extend(next.map(|source| fetch_from(shared, peers, source, digest)));
        let delay = if is_last { CALL_TIMEOUT } else { HEDGE_DELAY };
        match timeout(delay, requests.next()).await {
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
    let peers = random_peers(shared).into_iter().map(Source::Peer);
    cores.chain(peers).chain([Source::Stores]).collect()
}

/// Returns the bytes of a section from one source if they match the digest.
async fn fetch_from(
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
        Source::Stores => fetch_from_stores(shared, digest).await,
    };
    bytes.filter(|bytes| Digest::of(bytes) == *digest)
}

async fn fetch_from_stores(shared: &Shared, digest: &Digest) -> Option<Vec<u8>> {
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
fn random_peers(shared: &Shared) -> Vec<SocketAddr> {
    shared.peers().sample(PEERS_PER_FETCH, &mut rand::rng())
}
