//! Framed TCP between hooklug processes: typed calls and streams over one multiplexed connection a peer.
//!
//! A frame is a four-byte length and a postcard body. Each connection starts with a mutual proof of
//! the cluster secret; each server frame carries the sender's bundle version, so that news of a
//! bundle spreads with ordinary traffic. Links can be cut or delayed for tests (see [`LinkFaults`]).

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod client;
mod connection;
mod deferred;
mod error;
mod faults;
mod frame;
mod handshake;
mod identity;
mod incarnations;
mod router;
mod server;
mod traffic;
mod writer;

pub use client::{HELLO_PAUSE, ItemStream, RpcClient};
pub use deferred::Replier;
pub use error::{Fault, RpcError};
pub use faults::{LinkFault, LinkFaults};
pub use identity::{BundleNews, LocalIdentity, Peer};
pub use router::{ItemSink, Router};
pub use server::RpcServer;
pub use traffic::{Traffic, TrafficCounts};
