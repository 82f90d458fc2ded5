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
use crate::process::Launch;
use crate::topology::{ApplicationGroup, ModelGroup, SeedChoice, Topology};
use crate::{FleetError, ProcessKind, ProcessName};

/// Maximum number of seeds of a node.
const SEEDS: usize = 3;

/// Role of a process with its parameters.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Job {
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
pub(crate) struct Plan {
    pub name: ProcessName,
    pub ip: Ipv4Addr,
    pub zone: ZoneName,
    pub job: Job,
}

impl Plan {
    pub(crate) fn rpc(&self) -> SocketAddr {
        rpc_address(self.ip)
    }

    pub(crate) fn http(&self) -> SocketAddr {
        http_address(self.ip)
    }

    /// The engine id of a session-host engine or a fake backend.
    pub(crate) fn engine_id(&self) -> Result<EngineId, FleetError> {
        EngineId::new(self.name.word()).map_err(|e| FleetError::Unexpected(e.to_string()))
    }
}

/// Plans all processes of a topology.
pub(crate) fn plan_all(
    topology: &Topology,
    range: &mut AddressRange,
) -> Result<Vec<Plan>, FleetError> {
    let mut plans = Vec::new();
    let mut add = |kind, index: usize, job| -> Result<SocketAddr, FleetError> {
        let name = ProcessName::new(kind, index);
        let plan = Plan { name, ip: range.draw()?, zone: topology.zone(index).clone(), job };
        let http = plan.http();
        plans.push(plan);
        Ok(http)
    };
    for index in 0..topology.stores {
        add(ProcessKind::Store, index, Job::Store)?;
    }
    for index in 0..topology.cores {
        add(ProcessKind::Core, index, Job::Core)?;
    }
    for index in 0..topology.gateways {
        add(ProcessKind::Gateway, index, Job::Gateway)?;
    }
    let models = topology.models.iter().flat_map(|g| std::iter::repeat_n(g, g.engines));
    for (index, group) in models.enumerate() {
        let model = add(ProcessKind::Model, index, Job::Model { group: group.clone() })?;
        add(ProcessKind::Engine, index, Job::Engine { group: group.clone(), model })?;
    }
    let apps = topology.applications.iter().flat_map(|g| std::iter::repeat_n(g, g.engines));
    for (index, group) in apps.enumerate() {
        add(ProcessKind::App, index, Job::App { group: group.clone() })?;
    }
    add(ProcessKind::Platform, 0, Job::Platform)?;
    Ok(plans)
}

/// Configuration shared by all processes of a fleet.
#[derive(Debug)]
pub(crate) struct Common {
    pub topology: Topology,
    pub binaries: Binaries,
    pub data: PathBuf,
    pub secret: String,
    pub platform: SocketAddr,
}

impl Common {
    /// The folder of a process, for its settings, log and data.
    pub(crate) fn folder(&self, name: ProcessName) -> PathBuf {
        self.data.join(name.word())
    }

    /// The data folder of a store.
    pub(crate) fn disk(&self, plan: &Plan) -> PathBuf {
        // The path contains the address, so that a replacement at a new address starts with an
        // empty disk.
        self.folder(plan.name).join(format!("disk-{}", plan.ip))
    }

    /// Writes the settings file of a process and returns its command line. `listed` are the
    /// application engines that the fake platform lists at first.
    pub(crate) fn launch(
        &self,
        plan: &Plan,
        seeds: Vec<SocketAddr>,
        listed: &[Plan],
    ) -> Result<Launch, FleetError> {
        let folder = self.folder(plan.name);
        std::fs::create_dir_all(&folder)
            .map_err(FleetError::io("cannot create the folder of a process"))?;
        let (program, arguments) = if plan.name.kind.is_node() {
            let file = folder.join("settings.toml");
            write_settings(&file, &self.settings(plan, seeds)?)?;
            (&self.binaries.hooklug, node_arguments(plan, &file))
        } else {
            (&self.binaries.emulator, self.stand_in_arguments(plan, &folder, listed)?)
        };
        Ok(Launch { program: program.clone(), arguments, log: folder.join("log") })
    }

    fn settings(&self, plan: &Plan, seeds: Vec<SocketAddr>) -> Result<Settings, FleetError> {
        let topology = &self.topology;
        let wrong = |e: hooklug_types::IdError| FleetError::Unexpected(e.to_string());
        let engine = match &plan.job {
            Job::Engine { group, model } => Some(EngineSettings {
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
        let is_store = plan.job == Job::Store;
        let is_core = plan.job == Job::Core;
        Ok(Settings {
            rpc: plan.rpc(),
            http: plan.http(),
            zone: plan.zone.clone(),
            region: RegionName::new("local").map_err(wrong)?,
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

    fn stand_in_arguments(
        &self,
        plan: &Plan,
        folder: &Path,
        listed: &[Plan],
    ) -> Result<Vec<OsString>, FleetError> {
        let mut line = Line::default();
        match &plan.job {
            Job::Model { group } => {
                let pace = &self.topology.pace;
                line.word("model-server");
                line.identity(plan, &group.service, &group.version, folder)?;
                line.option("--slots", &group.slots);
                line.option("--first-token-ms", &pace.first_token_ms);
                line.option("--between-tokens-ms", &pace.between_tokens_ms);
                line.option("--uncached-token-micros", &pace.uncached_token_micros);
            }
            Job::App { group } => {
                line.word("application-engine");
                line.identity(plan, &group.service, &group.version, folder)?;
                line.option("--run-ms", &group.run_ms);
                line.option("--slots", &group.slots);
            }
            _ => {
                line.word("platform");
                line.option("--listen", &plan.http());
                line.option("--lag-ms", &self.topology.platform_lag_ms);
                for engine in listed {
                    line.option("--engine", &format!("{}={}", engine.http(), engine.zone));
                }
            }
        }
        Ok(line.0)
    }
}

fn write_settings(file: &Path, settings: &Settings) -> Result<(), FleetError> {
    let text = toml::to_string(settings).map_err(|e| FleetError::Unexpected(e.to_string()))?;
    std::fs::write(file, text).map_err(FleetError::io("cannot write a settings file"))
}

fn node_arguments(plan: &Plan, file: &Path) -> Vec<OsString> {
    let mut line = Line::default();
    line.word(plan.name.kind.word());
    line.word("--settings");
    line.0.push(file.into());
    line.word("--enable-faults");
    line.0
}

/// Builder for command line arguments.
#[derive(Debug, Default)]
struct Line(Vec<OsString>);

impl Line {
    fn word(&mut self, word: &str) {
        self.0.push(word.into());
    }

    fn option(&mut self, name: &str, value: &dyn ToString) {
        self.word(name);
        self.0.push(value.to_string().into());
    }

    fn identity(
        &mut self,
        plan: &Plan,
        service: &ServiceName,
        version: &ServiceVersion,
        folder: &Path,
    ) -> Result<(), FleetError> {
        self.option("--listen", &plan.http());
        self.option("--service", &service);
        self.option("--engine", &plan.engine_id()?);
        self.option("--version", &version);
        self.word("--ledger");
        self.0.push(folder.join("ledger").into());
        Ok(())
    }
}

/// Selects the seeds of the process with this index. They alternate between stores and cores, or
/// are cores only, and start at a different peer for each process, so that no peer is the only
/// entry point of all.
pub(crate) fn seeds(
    choice: SeedChoice,
    index: usize,
    stores: &[SocketAddr],
    cores: &[SocketAddr],
) -> Vec<SocketAddr> {
    let pick = |list: &[SocketAddr], n: usize| list.get(n % list.len().max(1)).copied();
    let picked = match choice {
        SeedChoice::StoresAndCores => {
            [pick(stores, index), pick(cores, index), pick(stores, index + 1)]
        }
        SeedChoice::Cores => [0, 1, 2].map(|step| pick(cores, index + step)),
    };
    let mut seeds: Vec<SocketAddr> = Vec::new();
    for found in picked {
        seeds.extend(found.filter(|address| !seeds.contains(address)));
    }
    seeds.truncate(SEEDS);
    seeds
}
