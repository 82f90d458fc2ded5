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
pub use probe::recover;
pub use round_generator::{Draw, Shape, draw_round};
pub use rounds::{ChaosOptions, ChaosProgress, run_rounds};
