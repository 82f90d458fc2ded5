//! Reverse proxy of a gateway: forwards tool calls and turns of chained sessions to backend pools.
//!
//! A gateway with this crate is also a session host: it owns the sessions whose turns it receives,
//! selects a model engine for each turn, and stores budgets and finished turns in the shards. The
//! HTTP format of callers and backends is translated by a dialect ([`BackendDialect`]); selection,
//! retries, caching and records are implemented here.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod answer;
pub mod attempt;
pub mod backends;
pub mod calls;
pub mod choice;
pub mod connections;
pub mod deadline;
pub mod dialect;
pub mod history_cache;
pub mod ingress;
pub mod load;
mod open_turn;
pub mod prefix_ring;
pub mod prompt_caches;
pub mod records;
pub mod request;
pub mod routes;
pub mod running_turns;
pub mod server;
pub mod sse;
pub mod stream;
pub mod stream_times;
pub mod turns;
pub mod unknown_turns;
pub mod versions;
pub mod waiting_ends;

pub use answer::{AnswerBody, IngressAnswer, Refusal, Truncated};
pub use dialect::{BackendDialect, BackendHead, Outgoing, Verdict};
pub use ingress::{Ingress, IngressContext};
pub use load::LoadReport;
pub use request::{IngressRequest, PromptPart, TurnRequest};
