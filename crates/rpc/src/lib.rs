//! RPC between hooklug processes: typed calls and streams over one multiplexed TCP connection per
//! peer.
//!
//! A frame is a four-byte length and a postcard body. Each connection starts with a handshake in
//! which both sides prove that they hold the cluster secret. Each server frame carries the sender's
//! bundle version, so new bundle versions spread with ordinary traffic. Tests can cut or delay
//! links (see [`LinkFaults`]).

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod client;
mod connection;
mod deferred;
mod error;
mod faults;
mod features;
mod frame;
mod handshake;
mod identity;
mod incarnations;
mod router;
mod server;
mod traffic;
mod writer;

pub use client::{HANDSHAKE_RETRY_DELAY, ItemStream, RpcClient};
pub use deferred::Replier;
pub use error::{Fault, RpcError};
pub use faults::{LinkFault, LinkFaults};
pub use features::{Feature, PeerFeatures};
pub use identity::{BundleVersions, LocalIdentity, Peer};
pub use router::{ItemSink, Router};
pub use server::RpcServer;
pub use traffic::{Traffic, TrafficCounts};
