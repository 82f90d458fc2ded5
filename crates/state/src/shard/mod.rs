//! The state of a shard: programs with their budgets, sessions, turns, calls and engine leases.

mod calls;
mod chains;
mod clock_step;
pub mod command;
pub mod event;
mod event_log;
mod events;
mod expiry;
mod leases;
mod machine;
mod programs;
pub mod query;
mod sessions;
mod turns;

pub use clock_step::{ClockStep, MeasuredTime, StepDetails};
pub use command::{
    BeginCall, BeginTurn, EndChainedTurn, FinishTurn, OpenSession, PutProgram, ShardCommand,
    ShardRefusal, ShardReply, StartChainedTurn, StartedChainedTurn, TakeSession, TurnGrant,
};
pub use event::{Event, EventBody};
pub use event_log::EventLog;
pub use expiry::{AppliedStep, ExpiredProgram, ITEMS_PER_STEP};
pub use machine::ShardMachine;
pub use query::{
    CallRecord, ChainedTurnStatus, LeaseRecord, ProgramRecord, SessionRecord, ShardAnswer,
    ShardQuery, TurnRecord, TurnState,
};
