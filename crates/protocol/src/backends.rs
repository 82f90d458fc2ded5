//! Gateways to a core: the back ends that the platform lists.

use std::net::SocketAddr;

use hooklug_types::{EngineId, ServiceName, ServiceVersion, ZoneName};
use serde::{Deserialize, Serialize};

use crate::control::NodeAddress;
use crate::{Method, StreamRequest};

/// A back end as the platform's list names it. The list lags, and may name dead or reused addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBackend {
    /// Its id; a restart has another one.
    pub id: EngineId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// Follows the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBackends {
    /// Who follows.
    pub from: NodeAddress,
}

/// An item of the list's stream: first the whole, then changes. One comes with each reading of the list, so that
/// a follower knows how fresh its copy is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendsItem {
    /// The whole list.
    Whole(Vec<ListedBackend>),
    /// What differs from the item before.
    Changes {
        /// Back ends that came or changed.
        changed: Vec<ListedBackend>,
        /// Back ends that left.
        gone: Vec<EngineId>,
    },
}

impl StreamRequest for WatchBackends {
    type Item = BackendsItem;
    const METHOD: Method = Method::WatchBackends;
}
