//! Identity of this process towards its peers, and state learned from their frames.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hooklug_protocol::control::NodeAddress;
use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole};
use tokio::sync::watch;

use crate::incarnations::NewestIncarnations;
use crate::{LinkFaults, PeerFeatures, Traffic};

/// Bundle versions known to this process: installed, known to be committed, and newest advertised
/// by any peer.
#[derive(Debug)]
pub struct BundleVersions {
    installed: AtomicU64,
    committed: AtomicU64,
    newest_seen: watch::Sender<BundleVersion>,
}

impl Default for BundleVersions {
    fn default() -> Self {
        Self {
            installed: AtomicU64::new(0),
            committed: AtomicU64::new(0),
            newest_seen: watch::Sender::new(BundleVersion(0)),
        }
    }
}

impl BundleVersions {
    /// Version installed in this process.
    #[must_use]
    pub fn installed(&self) -> BundleVersion {
        BundleVersion(self.installed.load(Ordering::Acquire))
    }

    /// Version sent to peers: the newer of the installed and the newest known committed version.
    #[must_use]
    pub fn advertised(&self) -> BundleVersion {
        self.installed().max(BundleVersion(self.committed.load(Ordering::Acquire)))
    }

    /// Records that a version is committed. Stores that have applied it advertise it to all their
    /// clients, so its spread does not depend on the one process that acknowledged the bundle.
    pub fn note_committed(&self, version: BundleVersion) {
        self.committed.fetch_max(version.0, Ordering::AcqRel);
        self.observe(version);
    }

    /// Records that a version has been installed. An older version has no effect.
    pub fn set_installed(&self, version: BundleVersion) {
        self.installed.fetch_max(version.0, Ordering::AcqRel);
        self.observe(version);
    }

    /// Records a version that a peer advertised.
    pub fn observe(&self, version: BundleVersion) {
        self.newest_seen.send_if_modified(|newest| {
            let newer = version > *newest;
            if newer {
                *newest = version;
            }
            newer
        });
    }

    /// Subscribes to the newest version that any peer has advertised.
    #[must_use]
    pub fn watch_newest(&self) -> watch::Receiver<BundleVersion> {
        self.newest_seen.subscribe()
    }
}

/// Identity of this process towards its peers, and its shared RPC state. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LocalIdentity {
    /// Node id, incarnation, role and addresses.
    pub address: NodeAddress,
    /// Key derived from the cluster secret; both sides prove in the handshake that they hold it.
    secret_key: [u8; 32],
    /// Cluster id; 0 until known. Peers of another cluster are rejected.
    cluster: Arc<AtomicU64>,
    /// Bundle versions known to this process.
    pub bundles: Arc<BundleVersions>,
    /// Injected faults of this process's links; empty unless faults are enabled.
    pub faults: Arc<LinkFaults>,
    /// Counters of bytes and frames sent and received.
    pub traffic: Arc<Traffic>,
    /// Features of the builds of all stores that were connected so far.
    pub peer_features: Arc<PeerFeatures>,
    /// Newest known incarnation at each peer's address.
    pub(crate) newest_incarnations: Arc<NewestIncarnations>,
}

impl LocalIdentity {
    /// Creates an identity. Only a key derived from the secret is stored.
    #[must_use]
    pub fn new(address: NodeAddress, cluster_secret: &str) -> Self {
        Self {
            address,
            secret_key: blake3::derive_key(
                "hooklug rpc cluster secret v1",
                cluster_secret.as_bytes(),
            ),
            cluster: Arc::new(AtomicU64::new(0)),
            bundles: Arc::new(BundleVersions::default()),
            faults: Arc::new(LinkFaults::default()),
            traffic: Arc::default(),
            peer_features: Arc::default(),
            newest_incarnations: Arc::default(),
        }
    }

    /// Cluster id; 0 until known.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.cluster.load(Ordering::Acquire)
    }

    /// Sets the cluster id. Once set, later values are ignored.
    pub fn set_cluster(&self, cluster: u64) {
        let _ = self.cluster.compare_exchange(0, cluster, Ordering::AcqRel, Ordering::Acquire);
    }

    pub(crate) fn secret_key(&self) -> &[u8; 32] {
        &self.secret_key
    }
}

/// Authenticated process on the other side of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Node id.
    pub node: NodeId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Role of the node.
    pub role: NodeRole,
    /// Remote IP address of the connection.
    pub ip: IpAddr,
}
