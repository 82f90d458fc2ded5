//! What is run: fleets under load, with and without faults.

pub mod chaos;
pub mod outcome;

pub use outcome::Outcome;
