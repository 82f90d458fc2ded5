//! What a fleet consists of, from a file.

use std::path::Path;

use hooklug_settings::GatewayMode;
use hooklug_types::{ModelName, ServiceName, ServiceVersion, TenantId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::FleetError;

/// What a fleet consists of. Processes of a kind are spread over the zones in turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Its name.
    pub name: String,
    /// Zones of the region.
    pub zones: Vec<ZoneName>,
    /// Delay between two zones, one way, in microseconds (default 0).
    #[serde(default)]
    pub zone_delay_micros: u64,
    /// Where nodes ask for the cluster first (default `stores_and_cores`).
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
    /// Session-host engines, each with a model server, by service and version, oldest version first.
    #[serde(default)]
    pub models: Vec<ModelGroup>,
    /// Application engines by service and version, oldest version first.
    #[serde(default)]
    pub applications: Vec<ApplicationGroup>,
    /// Pace of the model servers.
    #[serde(default)]
    pub pace: ModelPace,
    /// How long a change of the platform's list stays unseen, in milliseconds (default 1,000; ours).
    #[serde(default = "default_lag_ms")]
    pub platform_lag_ms: u64,
    /// How long finished turns and calls are kept, in seconds (default 86,400; ours).
    #[serde(default = "default_keep_seconds")]
    pub keep_seconds: u64,
    /// How gateways route (default `full`).
    #[serde(default)]
    pub gateway_mode: GatewayMode,
    /// Time between stop and kill, in milliseconds (default 10,000; ours).
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
}

/// Which processes nodes are given as seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeedChoice {
    /// Two stores and a core.
    #[default]
    StoresAndCores,
    /// Cores alone, as platforms do whose nodes are told where operators call.
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
    /// How many.
    pub engines: usize,
    /// Turns that each runs at once.
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
    /// How many.
    pub engines: usize,
    /// Time that a call takes, in milliseconds.
    pub run_ms: u64,
    /// Calls that each runs at once.
    #[serde(default = "default_application_slots")]
    pub slots: u32,
    /// Tools that it serves.
    pub tools: Vec<Tool>,
}

/// A tool and its route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tool {
    /// Its name.
    pub name: String,
    /// Whether a call may run more than once (default no).
    #[serde(default)]
    pub may_repeat: bool,
    /// Whether its calls use the urgent reserve (default no).
    #[serde(default)]
    pub urgent: bool,
}

/// Pace of the model servers.
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
    /// When it can't be read or says something impossible.
    pub fn read(path: &Path) -> Result<Self, FleetError> {
        let wrong = |reason: String| FleetError::Topology { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
        let topology: Self = toml::from_str(&text).map_err(|e| wrong(e.to_string()))?;
        topology.check().map_err(wrong)?;
        Ok(topology)
    }

    /// The topology of the demo, built into the program.
    #[must_use]
    pub fn small() -> Self {
        // The file is part of the program, and a test reads it.
        toml::from_str(include_str!("../../../topologies/small.toml")).unwrap_or_else(|error| {
            unreachable!("topologies/small.toml is checked by a test: {error}")
        })
    }

    fn check(&self) -> Result<(), String> {
        let engines = self.models.iter().map(|g| g.engines).sum::<usize>();
        let applications = self.applications.iter().map(|g| g.engines).sum::<usize>();
        let addresses = self.stores + self.cores + self.gateways + 2 * engines + applications + 1;
        if self.zones.is_empty() {
            return Err("zones: at least one is needed".to_owned());
        }
        if self.stores == 0 || self.cores == 0 || self.gateways == 0 {
            return Err("stores, cores, gateways: at least one of each is needed".to_owned());
        }
        if self.tenants.is_empty() {
            return Err("tenants: at least one is needed".to_owned());
        }
        if addresses > crate::addresses::MAX_ADDRESSES {
            return Err(format!("{addresses} addresses are needed, too many for one fleet"));
        }
        Ok(())
    }

    /// The zone of the n-th process of a kind.
    #[must_use]
    pub fn zone(&self, index: usize) -> &ZoneName {
        &self.zones[index % self.zones.len()]
    }
}
