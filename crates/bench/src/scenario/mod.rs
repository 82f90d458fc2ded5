//! Scenarios: fleets under load, with and without faults, and measurements of single request paths.

pub mod burst;
pub mod call_rate;
pub mod chaos;
pub mod outcome;
pub mod overhead;
pub mod proxy;
mod rate;
pub mod specification;
pub mod takeover;

pub use outcome::Outcome;
