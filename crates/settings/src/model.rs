//! Typed settings. The doc comment of each field gives its unit and default.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use hooklug_types::{EngineId, OperatorName, RegionName, ServiceName, ServiceVersion, ZoneName};
use serde::{Deserialize, Serialize};

/// A secret text that is never printed in logs or debug output.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret; it must not be logged or shown.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_empty() { "(empty)" } else { "(secret)" })
    }
}

/// All settings of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address for RPC from other processes, `ip:port`. No default.
    pub rpc: SocketAddr,
    /// Address for HTTP: callers (gateway), operators, readiness and metrics. No default.
    pub http: SocketAddr,
    /// Zone of this machine. No default.
    pub zone: ZoneName,
    /// Region of the zone (default `local`).
    #[serde(default = "default_region")]
    pub region: RegionName,
    /// RPC addresses of other processes of the cluster (requirement: up to three).
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Folder for all files of this process; required for stores.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Secret shared by all processes of the cluster; at least 16 characters. No default.
    pub cluster_secret: Secret,
    /// Time that the platform leaves between stop and kill, in milliseconds (default 10,000).
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Enables fault injection over HTTP, for failure tests (default false).
    #[serde(default)]
    pub enable_faults: bool,
    /// Settings of a store.
    #[serde(default)]
    pub store: StoreSettings,
    /// Settings of a session-host engine; required for that role.
    #[serde(default)]
    pub engine: Option<EngineSettings>,
    /// Settings of a gateway.
    #[serde(default)]
    pub gateway: GatewaySettings,
    /// Settings of a core.
    #[serde(default)]
    pub core: CoreSettings,
    /// Operators and their keys.
    #[serde(default)]
    pub operators: OperatorSettings,
}

/// Settings of a store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// Name of the machine for operators (default none: only its node id).
    pub name: Option<String>,
    /// Number of empty stores that must see each other before they form a cluster (default 3).
    pub expect_stores: u32,
    /// Whether an empty store may form a cluster; otherwise it only joins one (default true).
    pub may_form: bool,
    /// Number of voters per group; 2f + 1 voters tolerate the simultaneous loss of f stores
    /// (requirement: 3, the default).
    pub voters: u32,
    /// Duration of a Raft tick, in milliseconds (default 50).
    pub tick_ms: u64,
    /// Ticks without a leader before an election; the actual timeout is randomized between one and
    /// two times this value (default 10).
    pub election_ticks: u32,
    /// Number of commands of a group after which its log is compacted into a snapshot (default
    /// 20,000).
    pub snapshot_commands: u64,
    /// Whether the process exits when its disk has failed, so that it is restarted (default false:
    /// it keeps running and reports the failure).
    pub end_when_failed: bool,
    /// Length of the log on disk, in MiB, at which the groups that hold its oldest part are
    /// compacted (default 256).
    pub log_megabytes: u64,
    /// Retention of finished turns, finished calls and forgotten programs, in seconds (default
    /// 86,400).
    pub keep_seconds: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            name: None,
            expect_stores: 3,
            may_form: true,
            voters: 3,
            tick_ms: 50,
            election_ticks: 10,
            snapshot_commands: 20_000,
            end_when_failed: false,
            log_megabytes: 256,
            keep_seconds: 86_400,
        }
    }
}

/// Settings of a session-host engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Engine id, as in the platform's list.
    pub id: EngineId,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Version of the service that the engine runs.
    pub version: ServiceVersion,
    /// Address of the engine's model server.
    pub model_server: SocketAddr,
    /// Number of turns that the engine runs concurrently (default 16).
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum duration of a drain, in milliseconds; sessions then move to another engine between
    /// turns (default 900,000).
    #[serde(default = "default_drain_bound_ms")]
    pub drain_bound_ms: u64,
    /// Time for which a session without clients stays open, in milliseconds (default 600,000).
    #[serde(default = "default_unconnected_keep_ms")]
    pub unconnected_keep_ms: u64,
}

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// Maximum size of a request body, in bytes (default 1 MiB).
    pub body_bytes: usize,
    /// Retry budget, as a share of live traffic (default 0.2).
    pub retry_share: f64,
    /// Routing mode; `plain` is the baseline of the benchmark (default `full`).
    pub mode: GatewayMode,
}

/// Routing mode of a gateway.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayMode {
    /// Full routing: load balancing, limits and retry budgets.
    #[default]
    Full,
    /// Baseline for measurements: round robin, no limits, and unconditional retries of repeatable
    /// calls.
    Plain,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self { body_bytes: 1 << 20, retry_share: 0.2, mode: GatewayMode::Full }
    }
}

/// Settings of a core.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoreSettings {
    /// Location of the platform's list of engines: `http://ip:port/path` or a file path (default
    /// none: no application engines).
    pub platform_list: Option<String>,
    /// Time in seconds after which a service's newest version is rolled back if it has no ready
    /// engine while an older version has some (default 300; a model server takes minutes to load).
    pub version_ready_seconds: u64,
    /// Share of a service's requests that may reach the target of a rollout before it is due
    /// (default 0.1). Not written while it has that value, since the build before refuses the name.
    #[serde(skip_serializing_if = "is_default_exposure_share")]
    pub rollout_exposure_share: f64,
    /// Number of requests beyond that share (default 50). Not written while it has that value.
    #[serde(skip_serializing_if = "is_default_exposure_requests")]
    pub rollout_exposure_requests: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
fn is_default_exposure_share(share: &f64) -> bool {
    share.total_cmp(&CoreSettings::default().rollout_exposure_share).is_eq()
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
fn is_default_exposure_requests(requests: &u32) -> bool {
    *requests == CoreSettings::default().rollout_exposure_requests
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self {
            platform_list: None,
            version_ready_seconds: 300,
            rollout_exposure_share: 0.1,
            rollout_exposure_requests: 50,
        }
    }
}

/// Operators and their keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Ed25519 public keys by operator, in hexadecimal.
    pub keys: BTreeMap<OperatorName, String>,
    /// Number of signatures by different operators that a bundle needs (default 0).
    pub required_signatures: u32,
    /// BLAKE3 digests of the keys of the operators' API, in hexadecimal; if empty, the API is open
    /// on loopback addresses only.
    pub admin_key_digests: Vec<String>,
}

fn default_region() -> RegionName {
    RegionName::new("local").unwrap_or_else(|_| unreachable!("a valid name"))
}

fn default_grace_ms() -> u64 {
    10_000
}

fn default_slots() -> u32 {
    16
}

fn default_drain_bound_ms() -> u64 {
    900_000
}

fn default_unconnected_keep_ms() -> u64 {
    600_000
}
