//! Simulated callers, operators and observers that record all responses.

mod call_stream;
mod calls;
mod client;
mod final_state;
mod operators;
mod profile;
mod programs;
mod recorder;
mod sessions;
mod turns;
mod version_observer;

pub use call_stream::CallStream;
pub use calls::CallPlan;
pub use client::Client;
pub use final_state::read_final_state;
pub use operators::run_operator;
pub(crate) use operators::{read_newest_bundle, submit};
pub use profile::Profile;
pub use programs::run_programs;
pub use recorder::{Recorder, now};
pub use version_observer::poll_versions;
