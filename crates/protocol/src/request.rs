//! Typed requests: each defines its method and its reply type.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The RPC method of a frame, which selects its handler.
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
    /// Used by tests of the transport only.
    Echo,
    /// `control::FetchVersionStatistics`.
    FetchVersionStatistics,
    /// `control::ReportProbes`.
    ReportProbes,
    /// `control::FetchSlotUsage`.
    FetchSlotUsage,
    /// `backends::WatchBackends`.
    WatchBackends,
}

/// A request with one reply.
pub trait Request: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Type of the reply.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
    /// RPC method of the request.
    const METHOD: Method;
}

/// A request whose reply is a stream of items.
pub trait StreamRequest: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Type of the stream's items.
    type Item: Serialize + DeserializeOwned + Send + 'static;
    /// RPC method of the request.
    const METHOD: Method;
}
