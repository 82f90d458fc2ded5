//! Tool calls, repeatable and non-repeatable.

pub mod engine_slot;
pub mod non_repeatable;
pub mod outcome_lookup;
pub mod record;
pub mod repeat_history;
pub mod repeatable;
pub mod retry_budget;

use std::sync::Arc;

use bytes::Bytes;
use hooklug_settings::GatewayMode;
use hooklug_types::{CallAttempt, CallId, Digest, ProgramId, RouteName, ServiceName, TenantId};
use http::Method;
use rand::RngExt;
use serde_json::Value;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::backend::exchange::{AttemptKey, Dispatch};
use crate::backend::table::Backends;
use crate::shards::Shards;
use crate::version_monitor::VersionMonitor;
use repeat_history::RepeatHistory;
use retry_budget::RetryBudget;

/// Shared state for making tool calls.
#[derive(Debug)]
pub struct Calls {
    pub(crate) backends: Arc<Backends>,
    pub(crate) shards: Shards,
    pub(crate) version_monitor: VersionMonitor,
    pub(crate) node: hooklug_control::NodeHandle,
    pub(crate) retries: RetryBudget,
    pub(crate) mode: GatewayMode,
    /// Tools whose calls were not recorded under earlier bundles.
    pub(crate) history: RepeatHistory,
    /// Tracks calls that continue after their caller disconnected.
    pub(crate) running: TaskTracker,
}

/// A tool call with its route and deadline.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// Name of the tool.
    pub tool: String,
    /// Arguments as canonical JSON.
    pub arguments: Bytes,
    /// The route.
    pub route: RouteName,
    /// Service that handles the call.
    pub service: ServiceName,
    /// Whether the call may use the capacity reserved for urgent calls.
    pub urgent: bool,
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Returns the digest of a call's content: the tool and its arguments with sorted keys, so that a
/// resend is recognised regardless of JSON formatting.
#[must_use]
pub fn content_digest(tool: &str, arguments: &Value) -> Digest {
    digest_of(tool, arguments.to_string().as_bytes())
}

fn digest_of(tool: &str, canonical_arguments: &[u8]) -> Digest {
    Digest::of(&[tool.as_bytes(), &[0], canonical_arguments].concat())
}

/// Generates a random attempt id.
#[must_use]
pub fn new_attempt() -> CallAttempt {
    let text = format!("{:032x}", rand::rng().random::<u128>());
    CallAttempt::new(text).unwrap_or_else(|_| unreachable!("hexadecimal digits are an identifier"))
}

impl CallRequest {
    /// Digest of the tool and its arguments; needed only for recorded calls.
    pub(crate) fn digest(&self) -> Digest {
        digest_of(&self.tool, &self.arguments)
    }

    pub(crate) fn dispatch(&self, attempt: &CallAttempt) -> Dispatch {
        Dispatch {
            method: Method::POST,
            path: format!("/calls/{}", self.tool),
            body: self.arguments.clone(),
            call: Some(self.attempt_key(attempt)),
        }
    }

    pub(crate) fn attempt_key(&self, attempt: &CallAttempt) -> AttemptKey {
        AttemptKey {
            program: self.program.clone(),
            call: self.call.clone(),
            attempt: attempt.clone(),
        }
    }
}
