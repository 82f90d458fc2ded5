//! Gateways to a core: the back ends that the platform lists, and how requests fare there.

use std::net::SocketAddr;

use hooklug_types::{EngineId, ServiceName, ServiceVersion, ZoneName};
use serde::{Deserialize, Serialize};

use crate::control::NodeAddress;
use crate::{Method, Request, StreamRequest};

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
    /// Whether it is left alone for a while, since too many requests of all gateways failed there.
    pub ejected: bool,
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

/// What came of one gateway's requests at one back end since it last told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendOutcomes {
    /// The back end.
    pub backend: EngineId,
    /// Requests that it answered well.
    pub answered: u32,
    /// Requests that it failed, or left without an answer for long.
    pub failed: u32,
}

/// A gateway to the core that reads the list: how its requests fared. Sent again and again while some fail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportOutcomes {
    /// By back end; those without requests are left out.
    pub outcomes: Vec<BackendOutcomes>,
}

impl Request for ReportOutcomes {
    type Reply = ();
    const METHOD: Method = Method::ReportOutcomes;
}

impl StreamRequest for WatchBackends {
    type Item = BackendsItem;
    const METHOD: Method = Method::WatchBackends;
}
