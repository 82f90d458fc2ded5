//! The settings as typed values. Each field's doc names its unit, default and origin.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use hooklug_types::{EngineId, OperatorName, RegionName, ServiceName, ServiceVersion, ZoneName};
use serde::{Deserialize, Serialize};

/// A text that never shows in logs or debug output.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret itself; handle with care.
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
    /// Address for other processes, `ip:port`. No default.
    pub rpc: SocketAddr,
    /// Address for HTTP: callers (gateway), operators, readiness, metrics. No default.
    pub http: SocketAddr,
    /// Zone that this machine is in. No default.
    pub zone: ZoneName,
    /// Region of the zone (default `local`; ours).
    #[serde(default = "default_region")]
    pub region: RegionName,
    /// Up to three rpc addresses of other processes (brief).
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Folder for all files of this process; required for stores.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Secret that all processes of the cluster share; at least 16 characters. No default.
    pub cluster_secret: Secret,
    /// Time the platform leaves between stop and kill, in milliseconds (default 10,000; ours).
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Opens the switches of failure tests (default off).
    #[serde(default)]
    pub enable_faults: bool,
    /// For stores.
    #[serde(default)]
    pub store: StoreSettings,
    /// For session-host engines; required there.
    #[serde(default)]
    pub engine: Option<EngineSettings>,
    /// For gateways.
    #[serde(default)]
    pub gateway: GatewaySettings,
    /// For cores.
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
    /// Name that operators know the machine by (none: only its node id).
    pub name: Option<String>,
    /// Empty stores that must see each other before they form a cluster (default 3; ours).
    pub expect_stores: u32,
    /// Whether an empty store may form a cluster with others; if not, it only joins one (default true; ours).
    pub may_form: bool,
    /// Voters of each group: 2f + 1 bear the loss of f stores at once (default 3; brief).
    pub voters: u32,
    /// Raft tick, in milliseconds (default 50; ours).
    pub tick_ms: u64,
    /// Ticks without a leader before an election, drawn from one to two times this (default 10; ours).
    pub election_ticks: u32,
    /// Commands of a group after which its log is compacted into a snapshot (default 20,000; ours).
    pub snapshot_commands: u64,
    /// Whether the process ends when its disk has failed, to be started again (default false: it stays and says so; ours).
    pub end_when_failed: bool,
    /// Length of the log on the disk at which the groups that hold its oldest part are compacted, in MiB (default 256; ours).
    pub log_megabytes: u64,
    /// How long finished turns, calls and forgotten programs are kept, in seconds (default 86,400; ours).
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
    /// Its name, as the platform lists it.
    pub id: EngineId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Address of its model server.
    pub model_server: SocketAddr,
    /// Turns that it runs at once (default 16; ours).
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Longest drain before sessions move between turns, in milliseconds (default 900,000; ours).
    #[serde(default = "default_drain_bound_ms")]
    pub drain_bound_ms: u64,
    /// How long a session without clients is kept open, in milliseconds (default 600,000; ours).
    #[serde(default = "default_unconnected_keep_ms")]
    pub unconnected_keep_ms: u64,
}

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// Longest request body, in bytes (default 1 MiB; ours).
    pub body_bytes: usize,
    /// Share of live traffic that may be retried (default 0.2; ours).
    pub retry_share: f64,
    /// `plain` is the baseline of the bench: round robin, no limits, blind retries (default `full`).
    pub mode: GatewayMode,
}

/// How a gateway routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayMode {
    /// As designed.
    #[default]
    Full,
    /// Round robin, no limits, blind retries of calls that may be repeated: a baseline for measurements.
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
    /// The platform's list of engines: `http://ip:port/path` or a file's path (none: no application engines).
    pub platform_list: Option<String>,
    /// Time without a ready engine of a service's newest version, while an older one has some, after which the
    /// version is rolled back, in seconds (default 300; ours: a model server takes minutes to load).
    pub version_ready_seconds: u64,
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self { platform_list: None, version_ready_seconds: 300 }
    }
}

/// Operators and their keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Ed25519 public keys in hexadecimal, by operator.
    pub keys: BTreeMap<OperatorName, String>,
    /// Signatures that a bundle needs (default 0; ours).
    pub required_signatures: u32,
    /// BLAKE3 digests of keys that open the operators' API, in hexadecimal; empty leaves it open on loopback only.
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
