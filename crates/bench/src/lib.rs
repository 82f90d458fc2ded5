//! Load tests, fault injection and measurements for a complete fleet on one machine.
//!
//! [`workload`] simulates callers and operators and records every response, [`faults`] injects
//! faults into the fleet, and [`oracle`] checks the records against the ledgers of the backends.
//! The oracle is independent of the other two.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod command;
pub mod environment;
pub mod faults;
pub mod oracle;
pub mod report;
pub mod scenario;
pub mod statistics;
pub mod workload;
