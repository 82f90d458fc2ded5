//! Expands a topology into processes with addresses, zones, settings files and command lines.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use hooklug_settings::{
    CoreSettings, EngineSettings, GatewaySettings, OperatorSettings, Secret, Settings,
    StoreSettings,
};
use hooklug_types::{EngineId, RegionName, ServiceName, ServiceVersion, ZoneName};

use crate::addresses::{AddressRange, http_address, rpc_address};
use crate::binaries::Binaries;
use crate::process::LaunchSpec;
use crate::topology::{ApplicationGroup, ModelGroup, SeedChoice, Topology};
use crate::{FleetError, ProcessKind, ProcessName};

/// Maximum number of seeds of a node.
const MAX_SEEDS: usize = 3;

/// Role of a process with its parameters.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ProcessRole {
    Store,
    Core,
    Gateway,
    Engine { group: ModelGroup, model: SocketAddr },
    Model { group: ModelGroup },
    App { group: ApplicationGroup },
    Platform,
}

/// Placement and role of a process; they outlive its restarts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ProcessPlan {
    pub name: ProcessName,
    pub ip: Ipv4Addr,
    pub zone: ZoneName,
    pub role: ProcessRole,
}

impl ProcessPlan {
    pub(crate) fn rpc(&self) -> SocketAddr {
        rpc_address(self.ip)
    }

    pub(crate) fn http(&self) -> SocketAddr {
        http_address(self.ip)
    }

    /// The engine id of a session-host engine or a fake backend.
    pub(crate) fn engine_id(&self) -> Result<EngineId, FleetError> {
        EngineId::new(self.name.id()).map_err(|e| FleetError::Unexpected(e.to_string()))
    }
}

/// Plans all processes of a topology.
pub(crate) fn plan_processes(
    topology: &Topology,
    range: &mut AddressRange,
) -> Result<Vec<ProcessPlan>, FleetError> {
    let mut plans = Vec::new();
    let mut add = |kind, index: usize, role| -> Result<SocketAddr, FleetError> {
        let name = ProcessName::new(kind, index);
        let plan =
            ProcessPlan { name, ip: range.allocate()?, zone: topology.zone(index).clone(), role };
        let http = plan.http();
        plans.push(plan);
        Ok(http)
    };
    for index in 0..topology.stores {
        add(ProcessKind::Store, index, ProcessRole::Store)?;
    }
    for index in 0..topology.cores {
        add(ProcessKind::Core, index, ProcessRole::Core)?;
    }
    for index in 0..topology.gateways {
        add(ProcessKind::Gateway, index, ProcessRole::Gateway)?;
    }
    let models = topology.models.iter().flat_map(|g| std::iter::repeat_n(g, g.engines));
    for (index, group) in models.enumerate() {
        let model = add(ProcessKind::Model, index, ProcessRole::Model { group: group.clone() })?;
        add(ProcessKind::Engine, index, ProcessRole::Engine { group: group.clone(), model })?;
    }
    let apps = topology.applications.iter().flat_map(|g| std::iter::repeat_n(g, g.engines));
    for (index, group) in apps.enumerate() {
        add(ProcessKind::App, index, ProcessRole::App { group: group.clone() })?;
    }
    add(ProcessKind::Platform, 0, ProcessRole::Platform)?;
    Ok(plans)
}

/// Configuration shared by all processes of a fleet.
#[derive(Debug)]
pub(crate) struct SharedConfig {
    pub topology: Topology,
    pub binaries: Binaries,
    pub data: PathBuf,
    pub secret: String,
    pub platform: SocketAddr,
}

impl SharedConfig {
    /// The folder of a process, for its settings, log and data.
    pub(crate) fn folder(&self, name: ProcessName) -> PathBuf {
        self.data.join(name.id())
    }

    /// The data folder of a store.
    pub(crate) fn disk(&self, plan: &ProcessPlan) -> PathBuf {
        // The path contains the address, so that a replacement at a new address starts with an
        // empty disk.
        self.folder(plan.name).join(format!("disk-{}", plan.ip))
    }

    /// Writes the settings file of a process and returns its command line. `listed_engines` are the
    /// application engines that the fake platform lists at first.
    pub(crate) fn launch(
        &self,
        plan: &ProcessPlan,
        seeds: Vec<SocketAddr>,
        listed_engines: &[ProcessPlan],
    ) -> Result<LaunchSpec, FleetError> {
        let folder = self.folder(plan.name);
        std::fs::create_dir_all(&folder)
            .map_err(FleetError::io("cannot create the folder of a process"))?;
        let (program, arguments) = if plan.name.kind.is_node() {
            let file = folder.join("settings.toml");
            write_settings(&file, &self.settings(plan, seeds)?)?;
            (&self.binaries.hooklug, node_arguments(plan, &file))
        } else {
            (&self.binaries.emulator, self.fake_arguments(plan, &folder, listed_engines)?)
        };
        Ok(LaunchSpec { program: program.clone(), arguments, log: folder.join("log") })
    }

    fn settings(&self, plan: &ProcessPlan, seeds: Vec<SocketAddr>) -> Result<Settings, FleetError> {
        let topology = &self.topology;
        let invalid = |e: hooklug_types::IdError| FleetError::Unexpected(e.to_string());
        let engine = match &plan.role {
            ProcessRole::Engine { group, model } => Some(EngineSettings {
                id: plan.engine_id()?,
                service: group.service.clone(),
                version: group.version.clone(),
                model_server: *model,
                slots: group.slots,
                drain_bound_ms: 900_000,
                unconnected_keep_ms: 600_000,
            }),
            _ => None,
        };
        let store = StoreSettings {
            expect_stores: u32::try_from(topology.stores).unwrap_or(u32::MAX),
            keep_seconds: topology.keep_seconds,
            ..StoreSettings::default()
        };
        let is_store = plan.role == ProcessRole::Store;
        let is_core = plan.role == ProcessRole::Core;
        Ok(Settings {
            rpc: plan.rpc(),
            http: plan.http(),
            zone: plan.zone.clone(),
            region: RegionName::new("local").map_err(invalid)?,
            seeds,
            data_folder: is_store.then(|| self.disk(plan)),
            cluster_secret: Secret::new(self.secret.clone()),
            grace_ms: topology.grace_ms,
            enable_faults: true,
            store,
            engine,
            gateway: GatewaySettings { mode: topology.gateway_mode, ..GatewaySettings::default() },
            core: CoreSettings {
                platform_list: is_core.then(|| format!("http://{}/engines", self.platform)),
                ..CoreSettings::default()
            },
            operators: OperatorSettings::default(),
        })
    }

    fn fake_arguments(
        &self,
        plan: &ProcessPlan,
        folder: &Path,
        listed_engines: &[ProcessPlan],
    ) -> Result<Vec<OsString>, FleetError> {
        let mut arguments = Arguments::default();
        match &plan.role {
            ProcessRole::Model { group } => {
                let pace = &self.topology.pace;
                arguments.push("model-server");
                arguments.push_identity(plan, &group.service, &group.version, folder)?;
                arguments.push_option("--slots", &group.slots);
                arguments.push_option("--first-token-ms", &pace.first_token_ms);
                arguments.push_option("--between-tokens-ms", &pace.between_tokens_ms);
                arguments.push_option("--uncached-token-micros", &pace.uncached_token_micros);
            }
            ProcessRole::App { group } => {
                arguments.push("application-engine");
                arguments.push_identity(plan, &group.service, &group.version, folder)?;
                arguments.push_option("--run-ms", &group.run_ms);
                arguments.push_option("--slots", &group.slots);
            }
            _ => {
                arguments.push("platform");
                arguments.push_option("--listen", &plan.http());
                arguments.push_option("--lag-ms", &self.topology.platform_lag_ms);
                for engine in listed_engines {
                    arguments
                        .push_option("--engine", &format!("{}={}", engine.http(), engine.zone));
                }
            }
        }
        Ok(arguments.0)
    }
}

fn write_settings(file: &Path, settings: &Settings) -> Result<(), FleetError> {
    let text = toml::to_string(settings).map_err(|e| FleetError::Unexpected(e.to_string()))?;
    std::fs::write(file, text).map_err(FleetError::io("cannot write a settings file"))
}

fn node_arguments(plan: &ProcessPlan, file: &Path) -> Vec<OsString> {
    let mut arguments = Arguments::default();
    arguments.push(plan.name.kind.as_str());
    arguments.push("--settings");
    arguments.0.push(file.into());
    arguments.push("--enable-faults");
    arguments.0
}

/// Builder for command line arguments.
#[derive(Debug, Default)]
struct Arguments(Vec<OsString>);

impl Arguments {
    fn push(&mut self, argument: &str) {
        self.0.push(argument.into());
    }

    fn push_option(&mut self, name: &str, value: &dyn ToString) {
        self.push(name);
        self.0.push(value.to_string().into());
    }

    fn push_identity(
        &mut self,
        plan: &ProcessPlan,
        service: &ServiceName,
        version: &ServiceVersion,
        folder: &Path,
    ) -> Result<(), FleetError> {
        self.push_option("--listen", &plan.http());
        self.push_option("--service", &service);
        self.push_option("--engine", &plan.engine_id()?);
        self.push_option("--version", &version);
        self.push("--ledger");
        self.0.push(folder.join("ledger").into());
        Ok(())
    }
}

/// Selects the seeds of the process with this index. They alternate between stores and cores, or
/// are cores only, and start at a different peer for each process, so that no peer is the only
/// entry point of all.
pub(crate) fn select_seeds(
    choice: SeedChoice,
    index: usize,
    stores: &[SocketAddr],
    cores: &[SocketAddr],
) -> Vec<SocketAddr> {
    let select = |list: &[SocketAddr], n: usize| list.get(n % list.len().max(1)).copied();
    let selected = match choice {
        SeedChoice::StoresAndCores => {
            [select(stores, index), select(cores, index), select(stores, index + 1)]
        }
        SeedChoice::Cores => [0, 1, 2].map(|step| select(cores, index + step)),
    };
    let mut seeds: Vec<SocketAddr> = Vec::new();
    for seed in selected {
        seeds.extend(seed.filter(|address| !seeds.contains(address)));
    }
    seeds.truncate(MAX_SEEDS);
    seeds
}
