//! Topology of a fleet: its processes and their parameters, read from a TOML file.

use std::path::Path;

use hooklug_settings::GatewayMode;
use hooklug_types::{ModelName, ServiceName, ServiceVersion, TenantId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::FleetError;

/// Processes of a fleet and their parameters. The processes of each kind are assigned to the zones
/// round-robin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Name of the topology.
    pub name: String,
    /// Zones of the region.
    pub zones: Vec<ZoneName>,
    /// One-way network delay between two zones, in microseconds (default 0).
    #[serde(default)]
    pub zone_delay_micros: u64,
    /// Which processes nodes get as seeds for discovery (default `stores_and_cores`).
    #[serde(default)]
    pub seeds: SeedChoice,
    /// Number of stores.
    pub stores: usize,
    /// Number of cores.
    pub cores: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Tenants, without keys and with the default limits.
    pub tenants: Vec<TenantId>,
    /// Session-host engines, each with a model server, by service and version, oldest version
    /// first.
    #[serde(default)]
    pub models: Vec<ModelGroup>,
    /// Application engines by service and version, oldest version first.
    #[serde(default)]
    pub applications: Vec<ApplicationGroup>,
    /// Response times of the fake model servers.
    #[serde(default)]
    pub pace: ModelPace,
    /// Delay until a change of the platform's engine list becomes visible, in milliseconds (default
    /// 1,000).
    #[serde(default = "default_lag_ms")]
    pub platform_lag_ms: u64,
    /// Retention of finished turns and calls, in seconds (default 86,400).
    #[serde(default = "default_keep_seconds")]
    pub keep_seconds: u64,
    /// Routing mode of the gateways (default `full`).
    #[serde(default)]
    pub gateway_mode: GatewayMode,
    /// Grace period between `SIGTERM` and `SIGKILL`, in milliseconds (default 10,000).
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
}

/// Which processes nodes get as seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeedChoice {
    /// Two stores and a core.
    #[default]
    StoresAndCores,
    /// Three cores, as on platforms that give nodes the addresses that operators use.
    Cores,
}

/// Session-host engines of one service and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// Service.
    pub service: ServiceName,
    /// Model that it runs.
    pub model: ModelName,
    /// Version.
    pub version: ServiceVersion,
    /// Number of engines.
    pub engines: usize,
    /// Concurrent turns per engine.
    pub slots: u32,
}

/// Application engines of one service and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplicationGroup {
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: ServiceVersion,
    /// Number of engines.
    pub engines: usize,
    /// Run time of a call, in milliseconds.
    pub run_ms: u64,
    /// Concurrent calls per engine.
    #[serde(default = "default_application_slots")]
    pub slots: u32,
    /// Tools that the service offers.
    pub tools: Vec<Tool>,
}

/// A tool and its route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tool {
    /// Name of the tool and of its route.
    pub name: String,
    /// Whether its calls are repeatable (default no).
    #[serde(default)]
    pub may_repeat: bool,
    /// Whether its calls may use the capacity reserved for urgent calls (default no).
    #[serde(default)]
    pub urgent: bool,
}

/// Response times of the fake model servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ModelPace {
    /// Time to the first token with a warm cache, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens when idle, in milliseconds.
    pub between_tokens_ms: u64,
    /// Time to compute one uncached token, in microseconds.
    pub uncached_token_micros: u64,
}

impl Default for ModelPace {
    fn default() -> Self {
        Self { first_token_ms: 20, between_tokens_ms: 10, uncached_token_micros: 20 }
    }
}

fn default_application_slots() -> u32 {
    64
}

fn default_lag_ms() -> u64 {
    1_000
}

fn default_keep_seconds() -> u64 {
    86_400
}

fn default_grace_ms() -> u64 {
    10_000
}

impl Topology {
    /// Reads a topology file.
    ///
    /// # Errors
    /// When the file can't be read or parsed, or the topology is invalid.
    pub fn read(path: &Path) -> Result<Self, FleetError> {
        let invalid = |reason: String| FleetError::Topology { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(|e| invalid(e.to_string()))?;
        let topology: Self = toml::from_str(&text).map_err(|e| invalid(e.to_string()))?;
        topology.validate().map_err(invalid)?;
        Ok(topology)
    }

    /// The topology of the demo, built into the program.
    #[must_use]
    pub fn small() -> Self {
        // The file is compiled in; the test that reads all topology files checks it.
        toml::from_str(include_str!("../../../topologies/small.toml")).unwrap_or_else(|error| {
            unreachable!("topologies/small.toml is checked by a test: {error}")
        })
    }

    fn validate(&self) -> Result<(), String> {
        let engines = self.models.iter().map(|g| g.engines).sum::<usize>();
        let applications = self.applications.iter().map(|g| g.engines).sum::<usize>();
        let addresses = self.stores + self.cores + self.gateways + 2 * engines + applications + 1;
        if self.zones.is_empty() {
            return Err("zones: at least one is required".to_owned());
        }
        if self.stores == 0 || self.cores == 0 || self.gateways == 0 {
            return Err("stores, cores, gateways: at least one of each is required".to_owned());
        }
        if self.tenants.is_empty() {
            return Err("tenants: at least one is required".to_owned());
        }
        if addresses > crate::addresses::MAX_ADDRESSES {
            return Err(format!(
                "{addresses} addresses are required, more than the address range of a fleet holds"
            ));
        }
        Ok(())
    }

    /// The zone of the n-th process of a kind.
    #[must_use]
    pub fn zone(&self, index: usize) -> &ZoneName {
        &self.zones[index % self.zones.len()]
    }
}
