//! Random faults, and the limits within which the promises must hold.

mod apply;
mod backends;
mod draw;
mod fault;
mod groups;
mod probe;
mod release;
mod rounds;

pub use draw::{Draw, Shape, draw_round};
pub use fault::{BackendFault, Fault};
pub use probe::recover;
pub use rounds::{ChaosOptions, ChaosProgress, run_rounds};
