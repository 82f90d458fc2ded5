//! Requests that are passed through to pools of back ends: calls of tools, and turns of chained sessions.
//!
//! A gateway with this part is session host too: it owns the sessions whose turns come in here, drives model
//! engines chosen for each turn, and keeps budgets and finished turns in the shards. The way requests and back ends
//! speak is a dialect ([`BackendDialect`]); everything that decides, retries, caches or remembers is here.

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
pub mod prefix_ring;
pub mod prompt_caches;
pub mod records;
pub mod request;
pub mod routes;
pub mod server;
pub mod sse;
pub mod stream;
pub mod turns;
pub mod versions;

pub use answer::{AnswerBody, Cut, IngressAnswer, Refusal};
pub use dialect::{BackendDialect, BackendHead, Outgoing, Verdict};
pub use ingress::{Ingress, IngressContext};
pub use load::LoadReport;
pub use request::{IngressRequest, PromptPart, TurnRequest};
