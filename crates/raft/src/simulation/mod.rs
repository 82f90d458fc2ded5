//! Deterministic simulator of a complete raft group that checks safety after every step.
//!
//! The seed determines everything: fault rates, delays, crashes, network partitions, membership
//! changes and client requests. The same seed reproduces the same run, event by event. The
//! simulator is compiled only for tests and with the `simulation` feature, never into a release
//! build.

mod broken_rule;
mod checker;
mod clients;
mod disk;
mod driver;
mod event;
mod fault_profile;
mod faults;
mod fingerprint;
mod machine;
mod network;
mod operator;
mod replica;
mod runner;
mod sweep;
#[cfg(test)]
mod tests;
mod trace;
mod violation;

pub use broken_rule::BrokenRule;
pub use runner::{Outcome, Scenario, Totals, run};
pub use sweep::{Failure, SweepReport, sweep};
pub use violation::Violation;
