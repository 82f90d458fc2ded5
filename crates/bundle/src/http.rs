//! The part of a bundle that routes plain HTTP requests by host and path to pools of back ends.
//!
//! Beside the routes of the callers' own API a bundle may say which requests are passed through as they are: calls
//! of tools, and turns of chained sessions. The operators' own text travels with it, so that what is read back is
//! what was sent.

use std::collections::BTreeMap;

use hooklug_types::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// Routes, services and limits of requests that are passed through.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpRouting {
    /// Routes by name.
    pub routes: BTreeMap<RouteName, HttpRoute>,
    /// Pools of back ends by name.
    pub services: BTreeMap<ServiceName, HttpService>,
    /// What callers may send.
    #[serde(default)]
    pub limits: HttpLimits,
    /// The operators' own text, word for word; empty when this section was written by hand.
    #[serde(default)]
    pub document: String,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpRoute {
    /// Host that it serves.
    pub host: String,
    /// Start of the paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// For turns of chained sessions: how long they are kept. `None` for requests that keep nothing.
    pub keep_ms: Option<u64>,
    /// Longest time a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer (of a stream: its first event) is worth its full price, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most back ends that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests with the same prefix or key should meet the same back end.
    pub sticky: bool,
    /// Shares of the pools that serve it.
    pub backends: Vec<WeightedService>,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// Any number of times.
    Repeatable,
    /// At most once.
    Once,
}

/// A pool's share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The pool.
    pub service: ServiceName,
    /// Its weight among the route's pools.
    pub weight: u32,
}

/// A pool of back ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpService {
    /// Most connections that one back end takes from all callers together.
    pub max_connections: u32,
    /// For model engines.
    #[serde(default)]
    pub model: Option<ModelPool>,
}

/// What is known of the model engines of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPool {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// What callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HttpLimits {
    /// Longest head, in bytes (default 16 KiB).
    pub max_header_bytes: u64,
    /// Longest body, in bytes (default 4 MiB).
    pub max_body_bytes: u64,
    /// Longest time for a head, in milliseconds (default 3,000).
    pub header_timeout_ms: u64,
    /// Longest rest of a connection between requests, in milliseconds (default 15,000).
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
