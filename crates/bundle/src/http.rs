//! Bundle section that routes plain HTTP requests by host and path to pools of backends.
//!
//! In addition to the routes of hooklug's own API, a bundle can name requests that are forwarded
//! unchanged: tool calls, and turns of chained sessions. The operators' original configuration text
//! is part of the section, so that it can be read back exactly as it was submitted.

use std::collections::BTreeMap;

use hooklug_types::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// Routes, services and limits of forwarded HTTP requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpRouting {
    /// Routes by name.
    pub routes: BTreeMap<RouteName, HttpRoute>,
    /// Backend pools by name.
    pub services: BTreeMap<ServiceName, HttpService>,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub limits: HttpLimits,
    /// The operators' original configuration text, verbatim; empty if the section was written
    /// directly.
    #[serde(default)]
    pub document: String,
}

/// A route of forwarded HTTP requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpRoute {
    /// Host that the route matches.
    pub host: String,
    /// Path prefix that the route matches; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Retention of turns of chained sessions, in milliseconds; `None` if the route stores no
    /// turns.
    pub keep_ms: Option<u64>,
    /// Maximum time to serve a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the response (for a stream: to its first event), in milliseconds. A later
    /// response is worth less to the caller.
    pub target_latency_ms: u64,
    /// Priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of backends that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests with the same prompt prefix or key should reach the same backend.
    pub sticky: bool,
    /// Backend pools of the route, with weights.
    pub backends: Vec<WeightedService>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// A request may run any number of times.
    Repeatable,
    /// A request may run at most once.
    Once,
}

/// A pool's share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the pool.
    pub service: ServiceName,
    /// Weight of the pool relative to the route's other pools.
    pub weight: u32,
}

/// A pool of backends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpService {
    /// Maximum number of connections to one backend, from all gateways together.
    pub max_connections: u32,
    /// Capacity of the engines, for pools of model engines.
    #[serde(default)]
    pub model: Option<ModelPool>,
}

/// Capacity of the model engines in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPool {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub memory_tokens: u64,
    /// Number of tokens in one stream event.
    pub tokens_per_event: u64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HttpLimits {
    /// Maximum size of a request head, in bytes (default 16 KiB).
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes (default 4 MiB).
    pub max_body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds (default 3,000).
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection between requests, in milliseconds (default 15,000).
    pub idle_timeout_ms: u64,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
