//! The store process, and the client through which all other processes access the replicated state.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod access;
pub mod balance;
mod bootstrap;
pub mod cleanup;
mod client;
pub mod clock;
mod clock_source;
mod data_folder;
mod error;
pub mod formation;
mod gossip;
mod lease_expiry;
pub mod leases;
mod led_steps;
pub mod member_builds;
mod memory;
mod meta_watch;
pub mod observations;
pub mod placement;
mod service;
mod shared;
mod store;
pub mod time_source;

pub use access::{Executed, StateAccess, Unavailable};
pub use client::StoreClient;
pub use data_folder::{DATA_FORMAT, Membership, load_node_id};
pub use error::StoreError;
pub use leases::{LEASE_MARGIN, LEASE_TIME};
pub use memory::MemoryState;
pub use store::{Store, StoreHandle};
