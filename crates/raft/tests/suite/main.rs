//! Tests of the raft state machine through its public interface; the tests of the simulator are in
//! `src/simulation`.

mod common;
mod group;
mod odd_messages;
mod progress;
mod raft_log;
