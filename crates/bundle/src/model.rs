//! Data model of a bundle, as operators write it in JSON or TOML.

use std::collections::BTreeMap;

use hooklug_types::{
    BundleVersion, ModelName, RouteName, ServiceName, ServiceVersion, UnixMillis, WindowGroup,
    WindowName,
};
use serde::{Deserialize, Serialize};

use crate::TenantTable;
use crate::http::HttpRouting;

/// A configuration bundle.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of this bundle; must be higher than `base`.
    pub version: BundleVersion,
    /// Version that this bundle is based on; must be the newest committed version at submission.
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
    /// Routing of HTTP requests that are forwarded by host and path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http: Option<HttpRouting>,
}

/// Kind of a service's backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Session-host engines with model servers; they serve sessions.
    Model,
    /// Application engines; they serve tool calls.
    Application,
}

/// A service and its released versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of the service's backends.
    pub kind: ServiceKind,
    /// Model that the service runs; required for `model`, forbidden for `application`.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Versions, oldest first; the last one that is not `rolled_back` is the newest sound version.
    pub versions: Vec<VersionEntry>,
    /// Total number of slots of the service; windows that overlap can reserve at most this many.
    pub slots: u32,
    /// Outstanding calls at one backend above which other backends are preferred (default 64).
    #[serde(default = "default_concurrency")]
    pub concurrency_per_engine: u32,
    /// Turns or calls that may wait at one engine (default 256).
    #[serde(default = "default_queue")]
    pub queue_per_engine: u32,
    /// Traffic percentages of a new version's rollout, for application services (default 5, 25, 50,
    /// 100).
    #[serde(default = "default_steps")]
    pub steps: Vec<u8>,
    /// Duration of one rollout step, in seconds (default 5).
    #[serde(default = "default_step_seconds")]
    pub step_seconds: u32,
    /// Thresholds above which a new version is rolled back.
    #[serde(default)]
    pub harm: HarmThresholds,
}

/// One released version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// Name of the version, as its engines report it.
    pub version: ServiceVersion,
    /// Whether the version may receive traffic.
    #[serde(default)]
    pub state: VersionState,
}

/// State of a version: whether it may receive traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// The version may receive traffic.
    #[default]
    Sound,
    /// The version was rolled back and receives no traffic.
    RolledBack,
}

/// Thresholds above which a new version counts as a regression from the previous version in the
/// same interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HarmThresholds {
    /// Increase of the error share over the previous version's that counts as a regression (default
    /// 0.1).
    pub error_share_above: f64,
    /// Multiple of the previous version's p95 latency that counts as a regression (default 2.5).
    pub latency_factor: f64,
    /// Minimum number of samples of a version on a route before it is judged (default 20).
    pub least_samples: u32,
}

impl Default for HarmThresholds {
    fn default() -> Self {
        Self { error_share_above: 0.1, latency_factor: 2.5, least_samples: 20 }
    }
}

/// Requests that a route matches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum RouteMatch {
    /// Sessions that request this model.
    Session {
        /// Name of the model.
        model: ModelName,
    },
    /// Calls of this tool.
    Tool {
        /// Name of the tool.
        tool: String,
    },
}

/// A route: which requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Requests that the route matches.
    #[serde(rename = "match")]
    pub matches: RouteMatch,
    /// Service that serves the requests.
    pub service: ServiceName,
    /// Whether a request may run more than once (default false).
    #[serde(default)]
    pub may_repeat: bool,
    /// Maximum duration of a request, in milliseconds (default 30,000).
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether requests may use the capacity reserved for urgent ones (default false).
    #[serde(default)]
    pub urgent: bool,
}

/// A time window in which slots of a service are reserved for a group of programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Start of the window (inclusive), in milliseconds since 1970.
    pub start: UnixMillis,
    /// End of the window (exclusive), in milliseconds since 1970.
    pub end: UnixMillis,
    /// Group of programs that the slots are reserved for.
    pub group: WindowGroup,
    /// Service whose slots are reserved.
    pub service: ServiceName,
    /// Number of reserved slots, over all engines of the service.
    pub slots: u32,
}

/// A tenant: a customer whose programs share keys, a window group and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// BLAKE3 digests of the callers' keys, in hexadecimal.
    #[serde(default)]
    pub key_digests: Vec<String>,
    /// Window group of the tenant's programs.
    #[serde(default)]
    pub group: Option<WindowGroup>,
    /// Request limits of the tenant.
    #[serde(default)]
    pub limits: TenantLimits,
}

/// Request limits of one tenant at one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Sustained request rate, in requests per second (default 200).
    pub requests_per_second: f64,
    /// Maximum number of concurrent requests (default 400).
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
    /// Newest version that may receive traffic.
    #[must_use]
    pub fn newest_sound(&self) -> Option<&ServiceVersion> {
        self.versions.iter().rev().find(|v| v.state == VersionState::Sound).map(|v| &v.version)
    }

    /// Whether a version is listed and may receive traffic.
    #[must_use]
    pub fn is_sound(&self, version: &ServiceVersion) -> bool {
        self.versions.iter().any(|v| v.version == *version && v.state == VersionState::Sound)
    }
}

impl Bundle {
    /// Route that serves sessions of a model, with its name.
    #[must_use]
    pub fn session_route(&self, model: &ModelName) -> Option<(&RouteName, &Route)> {
        self.routes
            .iter()
            .find(|(_, r)| matches!(&r.matches, RouteMatch::Session { model: m } if m == model))
    }

    /// Route that serves calls of a tool, with its name.
    #[must_use]
    pub fn tool_route(&self, tool: &str) -> Option<(&RouteName, &Route)> {
        self.routes
            .iter()
            .find(|(_, r)| matches!(&r.matches, RouteMatch::Tool { tool: t } if t == tool))
    }
}
