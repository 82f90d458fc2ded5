//! The bundle as operators write it, in JSON or TOML.

use std::collections::BTreeMap;

use hooklug_types::{
    BundleVersion, ModelName, RouteName, ServiceName, ServiceVersion, UnixMillis, WindowGroup,
    WindowName,
};
use serde::{Deserialize, Serialize};

use crate::TenantTable;
use crate::http::HttpRouting;

/// One whole bundle.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// This bundle's version; one higher than the base it was built on, or more.
    pub version: BundleVersion,
    /// The version that its author had seen.
    pub base: BundleVersion,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes by name.
    #[serde(default)]
    pub routes: BTreeMap<RouteName, Route>,
    /// Windows by name.
    #[serde(default)]
    pub windows: BTreeMap<WindowName, Window>,
    /// Tenants by id.
    #[serde(default)]
    pub tenants: TenantTable,
    /// Requests that are passed through by host and path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http: Option<HttpRouting>,
}

/// What a service's back ends are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Session-host engines beside model servers; serves sessions.
    Model,
    /// Application engines; serve tool calls.
    Application,
}

/// A service and its released versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of its back ends.
    pub kind: ServiceKind,
    /// Model it runs; required for `model`, forbidden for `application`.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Versions, oldest first; the last one that is not `rolled_back` is the newest sound one.
    pub versions: Vec<VersionEntry>,
    /// Slots the whole service is sized for; windows may reserve at most these.
    pub slots: u32,
    /// Outstanding calls allowed at one back end before others are preferred (default 64).
    #[serde(default = "default_concurrency")]
    pub concurrency_per_engine: u32,
    /// Turns or calls that may wait at one engine (default 256).
    #[serde(default = "default_queue")]
    pub queue_per_engine: u32,
    /// Percentages of traffic that a new version of an application service steps through (default 5, 25, 50, 100).
    #[serde(default = "default_steps")]
    pub steps: Vec<u8>,
    /// Length of one step, in seconds (default 5).
    #[serde(default = "default_step_seconds")]
    pub step_seconds: u32,
    /// What counts as harm by a new version.
    #[serde(default)]
    pub harm: HarmThresholds,
}

/// One released version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// The version's name, as its engines report it.
    pub version: ServiceVersion,
    /// Whether it may get traffic.
    #[serde(default)]
    pub state: VersionState,
}

/// Whether a version may get traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// May get traffic.
    #[default]
    Sound,
    /// Found harmful; gets none.
    RolledBack,
}

/// When a new version counts as harmful against the old one in the same interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HarmThresholds {
    /// Error share of the new version above the old one's that counts as harm (default 0.1).
    pub error_share_above: f64,
    /// Factor on the old version's p95 latency that counts as harm (default 2.5).
    pub latency_factor: f64,
    /// Samples of a version on a route before it is judged (default 20).
    pub least_samples: u32,
}

impl Default for HarmThresholds {
    fn default() -> Self {
        Self { error_share_above: 0.1, latency_factor: 2.5, least_samples: 20 }
    }
}

/// Which requests a route serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum RouteMatch {
    /// Sessions that ask for this model.
    Session {
        /// The model.
        model: ModelName,
    },
    /// Tool calls with this name.
    Tool {
        /// The tool.
        tool: String,
    },
}

/// A route: what it matches and how its requests are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// What it matches.
    #[serde(rename = "match")]
    pub matches: RouteMatch,
    /// Service that takes its requests.
    pub service: ServiceName,
    /// Whether a request may run more than once (default no).
    #[serde(default)]
    pub may_repeat: bool,
    /// Longest time a request may take, in milliseconds (default 30,000).
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether its requests use the urgent reserve (default no).
    #[serde(default)]
    pub urgent: bool,
}

/// A span of time in which slots of a service are kept for a group of programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// First instant, milliseconds since 1970.
    pub start: UnixMillis,
    /// First instant after it.
    pub end: UnixMillis,
    /// Programs that it is for.
    pub group: WindowGroup,
    /// Service whose slots it keeps.
    pub service: ServiceName,
    /// Slots kept, over the whole service.
    pub slots: u32,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// BLAKE3 digests of its callers' keys, in hexadecimal.
    #[serde(default)]
    pub key_digests: Vec<String>,
    /// Group that its programs belong to, for windows.
    #[serde(default)]
    pub group: Option<WindowGroup>,
    /// Its limits.
    #[serde(default)]
    pub limits: TenantLimits,
}

/// Limits of one tenant at one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Requests a second, sustained (default 200).
    pub requests_per_second: f64,
    /// Requests at once (default 400).
    pub concurrency: u32,
}

impl Default for TenantLimits {
    fn default() -> Self {
        Self { requests_per_second: 200.0, concurrency: 400 }
    }
}

fn default_concurrency() -> u32 {
    64
}

fn default_queue() -> u32 {
    256
}

fn default_steps() -> Vec<u8> {
    vec![5, 25, 50, 100]
}

fn default_step_seconds() -> u32 {
    5
}

fn default_deadline_ms() -> u64 {
    30_000
}

impl Service {
    /// The newest version that may get traffic.
    #[must_use]
    pub fn newest_sound(&self) -> Option<&ServiceVersion> {
        self.versions.iter().rev().find(|v| v.state == VersionState::Sound).map(|v| &v.version)
    }

    /// Whether a version is listed and may get traffic.
    #[must_use]
    pub fn is_sound(&self, version: &ServiceVersion) -> bool {
        self.versions.iter().any(|v| v.version == *version && v.state == VersionState::Sound)
    }
}

impl Bundle {
    /// The route and its name that serve sessions of a model.
    #[must_use]
    pub fn session_route(&self, model: &ModelName) -> Option<(&RouteName, &Route)> {
        self.routes
            .iter()
            .find(|(_, r)| matches!(&r.matches, RouteMatch::Session { model: m } if m == model))
    }

    /// The route and its name that serve calls of a tool.
    #[must_use]
    pub fn tool_route(&self, tool: &str) -> Option<(&RouteName, &Route)> {
        self.routes
            .iter()
            .find(|(_, r)| matches!(&r.matches, RouteMatch::Tool { tool: t } if t == tool))
    }
}
