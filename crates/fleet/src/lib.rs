//! Runs a complete hooklug fleet on one machine: each node is a process with its own loopback
//! address; model servers, application engines and the platform's engine list are fakes.
//!
//! Tests and the demo drive it through [`Fleet`] and [`Caller`]. Dropping the fleet kills its
//! processes by their ids and removes its temporary folder.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod addresses;
mod binaries;
mod bundle;
mod bundle_admin;
pub mod caller;
pub mod control;
pub mod demo;
mod error;
mod fakes;
mod fleet;
pub mod http;
mod links;
mod maintenance;
mod names;
mod plan;
mod process;
mod readiness;
mod topology;

pub use bundle_admin::{BundleRecord, BundleWithRecord, Harm, SubmitOutcome};
pub use caller::{Caller, CallerError};
pub use error::FleetError;
pub use fleet::{Fleet, FleetOptions, ProcessStatus};
pub use names::{ProcessKind, ProcessName};
pub use readiness::{CommittedBundle, Submitted};
pub use topology::{ApplicationGroup, ModelGroup, ModelPace, SeedChoice, Tool, Topology};
