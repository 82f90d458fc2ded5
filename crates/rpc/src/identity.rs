//! Who this process is to its peers, and what it learns from them.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hooklug_protocol::control::NodeAddress;
use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole};
use tokio::sync::watch;

use crate::incarnations::NewestRuns;
use crate::{LinkFaults, Traffic};

/// The installed bundle version of this process, the newest that it knows to be committed, and the newest that any peer
/// has named.
#[derive(Debug)]
pub struct BundleNews {
    installed: AtomicU64,
    committed: AtomicU64,
    newest_seen: watch::Sender<BundleVersion>,
}

impl Default for BundleNews {
    fn default() -> Self {
        Self {
            installed: AtomicU64::new(0),
            committed: AtomicU64::new(0),
            newest_seen: watch::Sender::new(BundleVersion(0)),
        }
    }
}

impl BundleNews {
    /// The version in force here.
    #[must_use]
    pub fn installed(&self) -> BundleVersion {
        BundleVersion(self.installed.load(Ordering::Acquire))
    }

    /// The version told on every frame: the newest that is in force here or known to be committed.
    #[must_use]
    pub fn named(&self) -> BundleVersion {
        self.installed().max(BundleVersion(self.committed.load(Ordering::Acquire)))
    }

    /// Notes that a version is committed. A store that has applied it tells all that call it, so that the news does not
    /// rest on the one process that acknowledged the bundle.
    pub fn note_committed(&self, version: BundleVersion) {
        self.committed.fetch_max(version.0, Ordering::AcqRel);
        self.saw(version);
    }

    /// Notes that a version came into force here. An older one changes nothing.
    pub fn set_installed(&self, version: BundleVersion) {
        self.installed.fetch_max(version.0, Ordering::AcqRel);
        self.saw(version);
    }

    /// Notes that a peer named a version.
    pub fn saw(&self, version: BundleVersion) {
        self.newest_seen.send_if_modified(|newest| {
            let newer = version > *newest;
            if newer {
                *newest = version;
            }
            newer
        });
    }

    /// Follows the newest version that any peer has named.
    #[must_use]
    pub fn watch_newest(&self) -> watch::Receiver<BundleVersion> {
        self.newest_seen.subscribe()
    }
}

/// This process towards its peers. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LocalIdentity {
    /// Who and where.
    pub address: NodeAddress,
    /// Key derived from the cluster secret; both ends prove that they hold it.
    secret_key: [u8; 32],
    /// Cluster id; 0 until known. Peers of another cluster are refused.
    cluster: Arc<AtomicU64>,
    /// Bundle versions, told and heard.
    pub bundles: Arc<BundleNews>,
    /// Cuts and delays of this process's links; empty unless faults are enabled.
    pub faults: Arc<LinkFaults>,
    /// What this process sends and receives.
    pub traffic: Arc<Traffic>,
    /// Newest runs of peers.
    pub(crate) runs: Arc<NewestRuns>,
}

impl LocalIdentity {
    /// Makes an identity; the secret is never stored as it is.
    #[must_use]
    pub fn new(address: NodeAddress, cluster_secret: &str) -> Self {
        Self {
            address,
            secret_key: blake3::derive_key(
                "hooklug rpc cluster secret v1",
                cluster_secret.as_bytes(),
            ),
            cluster: Arc::new(AtomicU64::new(0)),
            bundles: Arc::new(BundleNews::default()),
            faults: Arc::new(LinkFaults::default()),
            traffic: Arc::default(),
            runs: Arc::default(),
        }
    }

    /// The cluster id; 0 until known.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.cluster.load(Ordering::Acquire)
    }

    /// Notes the cluster id, once; a later different one is ignored.
    pub fn set_cluster(&self, cluster: u64) {
        let _ = self.cluster.compare_exchange(0, cluster, Ordering::AcqRel, Ordering::Acquire);
    }

    pub(crate) fn secret_key(&self) -> &[u8; 32] {
        &self.secret_key
    }
}

/// The other end of a connection, proven to hold the cluster secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its node id.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: NodeRole,
    /// Its address as the connection shows it.
    pub ip: IpAddr,
}
