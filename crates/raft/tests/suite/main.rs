//! Tests of the consensus core from outside; the simulator's own are in `src/simulation`.

mod common;
mod group;
mod odd_messages;
mod progress;
mod raft_log;
