//! Load, faults and measurements against a whole fleet on one machine.
//!
//! [`workload`] plays the callers and operators and writes down what they were told, [`faults`] breaks
//! the fleet, and [`oracle`] judges the records against the back ends' ledgers, apart from both.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod command;
pub mod environment;
pub mod faults;
pub mod figures;
pub mod oracle;
pub mod report;
pub mod scenario;
pub mod workload;
