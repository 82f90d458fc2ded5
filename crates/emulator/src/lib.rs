//! Fakes of the systems around hooklug: model servers, application engines and the platform's
//! engine list, with the interfaces of `docs/BACKENDS.md`.
//!
//! Fake backends record every request that they ran in a ledger, and faults can be injected while
//! they run: see the section "Stand-ins" of `docs/TESTING.md`. Tests start them in their own
//! process on port 0.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod application;
mod fake_backend;
pub mod faults;
mod headers;
mod http;
pub mod identity;
pub mod ledger;
pub mod model;
pub mod platform;
mod state;

pub use application::{ApplicationEngine, ApplicationOptions};
pub use fake_backend::FakeBackend;
pub use faults::{FaultKind, FaultRule, Faults};
pub use identity::{Identity, Restart};
pub use ledger::{Ledger, LedgerEntry, LedgerLine};
pub use model::{ModelOptions, ModelServer};
pub use platform::{EngineList, ListedEngine, PlatformList, PlatformOptions};
