//! The shard: programs with their budgets, sessions, turns, calls and engine leases.

pub mod command;
pub mod event;
pub mod query;

pub use command::{
    BeginCall, BeginTurn, FinishTurn, OpenSession, PutProgram, ShardCommand, ShardRefusal,
    ShardReply, TakeSession, TurnGrant,
};
pub use event::{Event, EventBody};
pub use query::{
    CallRecord, LeaseRecord, ProgramRecord, SessionRecord, ShardAnswer, ShardQuery, TurnRecord,
    TurnState,
};
