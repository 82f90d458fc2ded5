//! Typed requests: each names its method and reply.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Which handler a frame is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Method {
    /// `control::Discover`.
    Discover,
    /// `control::Heartbeat`.
    Heartbeat,
    /// `control::WatchView`.
    WatchView,
    /// `control::FetchSection`.
    FetchSection,
    /// `control::ReportHarm`.
    ReportHarm,
    /// `engine::OpenSession`.
    OpenSession,
    /// `engine::TakeSession`.
    TakeSession,
    /// `engine::RunTurn`.
    RunTurn,
    /// `engine::Join`.
    Join,
    /// `engine::AbortTurn`.
    AbortTurn,
    /// `engine::ToolResult`.
    ToolResult,
    /// `engine::CloseSession`.
    CloseSession,
    /// `store::Execute`.
    Execute,
    /// `store::Query`.
    Query,
    /// `store::ExpireLease`.
    ExpireLease,
    /// `store::RaftBatch`.
    RaftBatch,
    /// `store::SnapshotChunk`.
    SnapshotChunk,
    /// `store::FormationOffer`.
    FormationOffer,
    /// `store::GroupStatus`.
    GroupStatus,
    /// `store::ChangeReplicas`.
    ChangeReplicas,
    /// For tests of the transport.
    Echo,
    /// `control::VersionFigures`.
    VersionFigures,
    /// `control::ReportProbes`.
    ReportProbes,
    /// `control::SlotUseFigures`.
    SlotUseFigures,
    /// `backends::WatchBackends`.
    WatchBackends,
}

/// A request with one reply.
pub trait Request: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Its reply.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
    /// Its method.
    const METHOD: Method;
}

/// A request that is answered by a stream of items.
pub trait StreamRequest: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// One item.
    type Item: Serialize + DeserializeOwned + Send + 'static;
    /// Its method.
    const METHOD: Method;
}
