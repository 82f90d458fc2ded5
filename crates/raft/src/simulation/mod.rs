//! A seeded simulator of a whole group, with checks after every step.
//!
//! One seed decides everything: the faults' rates, every delay, crash, cut, membership change and
//! client call. The same seed gives the same run, event by event. Compiled only for tests and with the
//! `simulation` feature; nothing in a shipped build depends on it.

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
