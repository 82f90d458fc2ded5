//! Tests of the raft state machine through its public interface; the tests of the simulator are in
//! `src/simulation`.

mod arbitrary_messages;
mod common;
mod group;
mod progress;
mod raft_log;
