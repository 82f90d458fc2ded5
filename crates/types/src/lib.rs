//! Identifiers, counters and outcome types shared by all hooklug crates.
//!
//! The crate contains no logic of its own, so that crates can share these types without depending
//! on each other.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod counters;
mod ids;
mod load;
mod outcome;
mod ownership;
mod shard;

pub use counters::{
    BundleVersion, EventSeq, FencingEpoch, Incarnation, NodeId, Renewal, Revision, SessionEpoch,
    TokenCount, UnixMillis,
};
pub use ids::{
    CallAttempt, CallId, EngineId, IdError, MAX_ID_BYTES, ModelName, OperatorName, PrefixId,
    ProgramId, RegionName, RouteName, ServiceName, ServiceVersion, SessionId, TenantId, TurnId,
    WindowGroup, WindowName, ZoneName,
};
pub use load::EngineLoad;
pub use outcome::{CallOutcome, EndReason, FailureCode};
pub use ownership::{EngineIncarnation, NodeRole, SessionKey, SessionLocation};
pub use shard::{Digest, GroupId, META_GROUP, SHARD_COUNT, shard_of};
