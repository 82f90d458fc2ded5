//! Tool calls: those that may be repeated, and those that may not.

pub mod engine_slot;
pub mod non_repeatable;
pub mod record;
pub mod repeat_history;
pub mod repeatable;
pub mod retry_budget;
pub mod settle;

use std::sync::Arc;

use bytes::Bytes;
use hooklug_settings::GatewayMode;
use hooklug_types::{CallAttempt, CallId, Digest, ProgramId, RouteName, ServiceName, TenantId};
use http::Method;
use rand::RngExt;
use serde_json::Value;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::backend::exchange::{CallName, Dispatch};
use crate::backend::table::Backends;
use crate::shards::Shards;
use crate::version_monitor::Evidence;
use repeat_history::RepeatHistory;
use retry_budget::RetryBudget;

/// Everything that calls need.
#[derive(Debug)]
pub struct Calls {
    pub(crate) backends: Arc<Backends>,
    pub(crate) shards: Shards,
    pub(crate) evidence: Evidence,
    pub(crate) node: hooklug_control::NodeHandle,
    pub(crate) retries: RetryBudget,
    pub(crate) mode: GatewayMode,
    /// Which tools' calls left no record under earlier bundles.
    pub(crate) history: RepeatHistory,
    /// Calls that go on when their caller has gone.
    pub(crate) running: TaskTracker,
}

/// A call as its caller asked for it, and the route it goes by.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Whose it is.
    pub tenant: TenantId,
    /// Name of the tool.
    pub tool: String,
    /// Its arguments, as canonical JSON.
    pub arguments: Bytes,
    /// The route.
    pub route: RouteName,
    /// Service that takes it.
    pub service: ServiceName,
    /// Whether it may use the urgent reserve.
    pub urgent: bool,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// Digest of a call's content: the tool and its arguments with sorted keys, so that a resend is
/// recognised whatever its spelling.
#[must_use]
pub fn content_digest(tool: &str, arguments: &Value) -> Digest {
    digest_of(tool, arguments.to_string().as_bytes())
}

fn digest_of(tool: &str, canonical_arguments: &[u8]) -> Digest {
    Digest::of(&[tool.as_bytes(), &[0], canonical_arguments].concat())
}

/// A new claim to dispatch a call.
#[must_use]
pub fn draw_attempt() -> CallAttempt {
    let text = format!("{:032x}", rand::rng().random::<u128>());
    CallAttempt::new(text).unwrap_or_else(|_| unreachable!("hexadecimal digits are an identifier"))
}

impl CallRequest {
    /// Digest of tool and arguments; only calls that are recorded need it.
    pub(crate) fn digest(&self) -> Digest {
        digest_of(&self.tool, &self.arguments)
    }

    pub(crate) fn dispatch(&self, attempt: &CallAttempt) -> Dispatch {
        Dispatch {
            method: Method::POST,
            path: format!("/calls/{}", self.tool),
            body: self.arguments.clone(),
            call: Some(self.name(attempt)),
        }
    }

    pub(crate) fn name(&self, attempt: &CallAttempt) -> CallName {
        CallName {
            program: self.program.clone(),
            call: self.call.clone(),
            attempt: attempt.clone(),
        }
    }
}
