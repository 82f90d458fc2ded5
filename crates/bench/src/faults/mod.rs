//! Random faults, and the limits within which the promises must hold.

mod apply;
mod backends;
mod fault;
mod harmful_release;
mod probe;
mod replication;
mod round_generator;
mod rounds;

pub use fault::{BackendFault, Fault};
pub use probe::measure_recovery;
pub use round_generator::{FaultRound, FaultTargets, generate_round};
pub use rounds::{ChaosOptions, RunProgress, run_rounds};
