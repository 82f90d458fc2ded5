//! The control plane: what every node runs to take part in the cluster, and the core process.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod agent;
pub mod backends;
pub mod core;
pub mod handle;
pub mod judge;
mod metrics;
pub mod view;

pub use self::core::Core;
pub use agent::NodeAgent;
pub use handle::{
    InstalledBundle, NodeContext, NodeHandle, NodeHandleChannels, NodeReport, Reachability,
    Readiness, StatisticsRecorder,
};
pub use judge::latency_bucket;
