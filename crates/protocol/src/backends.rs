//! Messages from gateways to cores: watching the platform's list of backends.

use std::net::SocketAddr;

use hooklug_types::{EngineId, ServiceName, ServiceVersion, ZoneName};
use serde::{Deserialize, Serialize};

use crate::control::NodeAddress;
use crate::{Method, StreamRequest};

/// A backend in the platform's list. The list lags, and may contain addresses that have failed or
/// been reused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBackend {
    /// Backend id; a restarted backend has a new id.
    pub id: EngineId,
    /// Service that the backend serves.
    pub service: ServiceName,
    /// Version that the backend runs.
    pub version: ServiceVersion,
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// Zone of the backend.
    pub zone: ZoneName,
    /// Number of requests that the backend can run concurrently.
    pub slots: u32,
    /// Whether the backend is draining, that is, accepts no new work.
    pub draining: bool,
}

/// Subscribes to the platform's list of backends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBackends {
    /// The subscribing node.
    pub from: NodeAddress,
}

/// An item of the backend list stream: first the full list, then changes. One item is sent each
/// time the list is read, so that a subscriber knows how fresh its copy is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendListItem {
    /// The full list.
    Full(Vec<ListedBackend>),
    /// Differences from the previous item.
    Changes {
        /// Backends that were added or changed.
        changed: Vec<ListedBackend>,
        /// Backends that were removed.
        removed: Vec<EngineId>,
    },
}

impl StreamRequest for WatchBackends {
    type Item = BackendListItem;
    const METHOD: Method = Method::WatchBackends;
}
