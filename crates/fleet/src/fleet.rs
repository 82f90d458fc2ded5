//! A running fleet: starts, stops and signals its processes and reports their status.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_emulator::Faults;
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use tempfile::TempDir;

use crate::addresses::AddressRange;
use crate::binaries::Binaries;
use crate::http::HttpClient;
use crate::links::Links;
use crate::plan::{ProcessPlan, ProcessRole, SharedConfig, plan_processes, select_seeds};
use crate::process::{LaunchSpec, Process, describe_exit_status, poll_until};
use crate::{FleetError, ProcessKind, ProcessName, Topology};

/// Timeout of each stage of fleet startup (issue: the largest fleet starts within 30 s).
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time beyond the grace period after which a stopping process is killed.
const STOP_MARGIN: Duration = Duration::from_secs(5);

/// Options for starting a fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetOptions {
    /// Folder for logs, settings, ledgers and disks. `None` creates a temporary folder that is
    /// removed with the fleet.
    pub data: Option<PathBuf>,
}

/// Status of a process, as shown by the `status` command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub name: ProcessName,
    /// Zone in which it runs.
    pub zone: String,
    /// HTTP address.
    pub http: SocketAddr,
    /// Process id; `None` if it is not running.
    pub pid: Option<u32>,
    /// `running`, `frozen`, `stopped`, or the exit code or signal with which it ended.
    pub state: String,
}

/// A running fleet. Dropping it kills every process.
#[derive(Debug)]
pub struct Fleet {
    state: Mutex<FleetState>,
    pub(crate) config: SharedConfig,
    pub(crate) http: HttpClient,
    // Declared last, so that the folder is removed after the processes have been killed.
    _folder: Option<TempDir>,
}

#[derive(Debug)]
pub(crate) struct FleetState {
    pub range: AddressRange,
    pub processes: BTreeMap<ProcessName, ManagedProcess>,
    pub links: Links,
}

/// A process of the fleet and how to start it again; the process may have exited.
#[derive(Debug)]
pub(crate) struct ManagedProcess {
    pub plan: ProcessPlan,
    pub launch: LaunchSpec,
    pub process: Option<Process>,
    /// Whether an exit is expected, because the process was stopped or killed on request.
    pub exit_expected: bool,
}

impl Fleet {
    /// Starts a fleet in a temporary folder and waits until it is ready to serve requests.
    ///
    /// # Errors
    /// When a process can't be started, exits, or is not ready in time.
    pub async fn start(topology: Topology) -> Result<Self, FleetError> {
        Self::start_with(topology, FleetOptions::default()).await
    }

    /// Starts a fleet and waits until it is ready to serve requests.
    ///
    /// # Errors
    /// When a process can't be started, exits, or is not ready in time.
    pub async fn start_with(topology: Topology, options: FleetOptions) -> Result<Self, FleetError> {
        let fleet = Self::launch(topology, options)?;
        fleet.wait_alive(START_TIMEOUT).await?;
        fleet.send_zone_delays().await?;
        fleet.submit_first_bundle(START_TIMEOUT).await?;
        fleet.wait_serving(START_TIMEOUT).await?;
        Ok(fleet)
    }

    /// Starts all processes without waiting until they are ready.
    ///
    /// # Errors
    /// When a process can't be started.
    pub fn launch(topology: Topology, options: FleetOptions) -> Result<Self, FleetError> {
        let binaries = Binaries::find()?;
        let mut range = AddressRange::claim()?;
        let plans = plan_processes(&topology, &mut range)?;
        let (data, folder) = data_folder(options)?;
        let platform =
            plans.iter().find(|p| p.role == ProcessRole::Platform).map(ProcessPlan::http);
        let platform = platform.ok_or_else(|| {
            FleetError::Unexpected("the topology has no platform process".to_owned())
        })?;
        let secret = format!("{:032x}", rand::random::<u128>());
        let config = SharedConfig { topology, binaries, data, secret, platform };
        let processes = BTreeMap::new();
        let state = Mutex::new(FleetState { range, processes, links: Links::default() });
        let fleet = Self { state, config, http: HttpClient::default(), _folder: folder };
        fleet.launch_all(plans)?;
        Ok(fleet)
    }

    fn launch_all(&self, mut plans: Vec<ProcessPlan>) -> Result<(), FleetError> {
        // Fakes start first, so that nodes find their backends at once.
        plans.sort_by_key(|plan| (plan.name.kind.is_node(), plan.name));
        let addresses = |kind| -> Vec<SocketAddr> {
            plans.iter().filter(|p| p.name.kind == kind).map(ProcessPlan::rpc).collect()
        };
        let (stores, cores) = (addresses(ProcessKind::Store), addresses(ProcessKind::Core));
        let apps: Vec<ProcessPlan> =
            plans.iter().filter(|p| p.name.kind == ProcessKind::App).cloned().collect();
        for (index, plan) in plans.into_iter().enumerate() {
            let launch = self.config.launch(
                &plan,
                select_seeds(self.config.topology.seeds, index, &stores, &cores),
                &apps,
            )?;
            self.start_process(plan, launch)?;
        }
        Ok(())
    }

    /// Starts a process and registers it under its name, replacing an earlier process of that name.
    pub(crate) fn start_process(
        &self,
        plan: ProcessPlan,
        launch: LaunchSpec,
    ) -> Result<(), FleetError> {
        let process = Some(Process::start(&launch)?);
        let name = plan.name;
        let managed = ManagedProcess { plan, launch, process, exit_expected: false };
        self.state().processes.insert(name, managed);
        Ok(())
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn with_process<T>(
        &self,
        name: ProcessName,
        act: impl FnOnce(&mut ManagedProcess) -> T,
    ) -> Result<T, FleetError> {
        self.state().processes.get_mut(&name).map(act).ok_or(FleetError::UnknownProcess(name))
    }

    pub(crate) fn plan(&self, name: ProcessName) -> Result<ProcessPlan, FleetError> {
        self.with_process(name, |managed| managed.plan.clone())
    }

    /// The names of all processes of a kind.
    #[must_use]
    pub fn names(&self, kind: ProcessKind) -> Vec<ProcessName> {
        self.state().processes.keys().filter(|name| name.kind == kind).copied().collect()
    }

    /// The names of all processes.
    #[must_use]
    pub fn all_names(&self) -> Vec<ProcessName> {
        self.state().processes.keys().copied().collect()
    }

    /// The topology from which the fleet was started.
    #[must_use]
    pub fn topology(&self) -> &Topology {
        &self.config.topology
    }

    /// The folder for logs, settings, ledgers and disks.
    #[must_use]
    pub fn data(&self) -> &Path {
        &self.config.data
    }

    /// The HTTP address of a process.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn http_address(&self, name: ProcessName) -> Result<SocketAddr, FleetError> {
        self.plan(name).map(|plan| plan.http())
    }

    /// The HTTP address of the gateway with this index; the index wraps around.
    ///
    /// # Panics
    /// Never: a topology has at least one gateway.
    #[must_use]
    pub fn gateway(&self, index: usize) -> SocketAddr {
        let gateways = self.gateways();
        gateways[index % gateways.len()]
    }

    /// The HTTP addresses of all gateways.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let gateways = state.processes.values().filter(|m| m.plan.role == ProcessRole::Gateway);
        gateways.map(|m| m.plan.http()).collect()
    }

    /// Kills a process (`SIGKILL`).
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn kill(&self, name: ProcessName) -> Result<(), FleetError> {
        self.with_process(name, |managed| {
            managed.exit_expected = true;
            if let Some(process) = &mut managed.process {
                process.kill();
            }
        })
    }

    /// Marks the exit of a process as expected, for example that of an engine that is draining.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn expect_exit(&self, name: ProcessName) -> Result<(), FleetError> {
        self.with_process(name, |managed| managed.exit_expected = true)
    }

    /// Freezes a process (`SIGSTOP`).
    ///
    /// # Errors
    /// When the fleet has no process of that name, or the signal can't be sent.
    pub fn freeze(&self, name: ProcessName) -> Result<(), FleetError> {
        self.signal(name, Signal::SIGSTOP, Some(true))
    }

    /// Resumes a frozen process (`SIGCONT`).
    ///
    /// # Errors
    /// When the fleet has no process of that name, or the signal can't be sent.
    pub fn resume(&self, name: ProcessName) -> Result<(), FleetError> {
        self.signal(name, Signal::SIGCONT, Some(false))
    }

    /// Sends `SIGHUP`, which announces changed settings. Nodes read them only at their next start.
    ///
    /// # Errors
    /// When the fleet has no process of that name, or the signal can't be sent.
    pub fn send_sighup(&self, name: ProcessName) -> Result<(), FleetError> {
        self.signal(name, Signal::SIGHUP, None)
    }

    fn signal(
        &self,
        name: ProcessName,
        signal: Signal,
        frozen: Option<bool>,
    ) -> Result<(), FleetError> {
        self.with_process(name, |managed| {
            let Some(process) = &mut managed.process else { return Ok(()) };
            process.frozen = frozen.unwrap_or(process.frozen);
            process.signal(signal)
        })?
    }

    /// Sends `SIGTERM`, as the platform does, without waiting for the process to exit. A fake
    /// application engine or model server refuses new work instead.
    ///
    /// # Errors
    /// When the fleet has no process of that name, or the signal or request can't be sent.
    pub async fn drain(&self, name: ProcessName) -> Result<(), FleetError> {
        if matches!(name.kind, ProcessKind::Model | ProcessKind::App) {
            return self.set_faults(name, &Faults { draining: true, ..Faults::default() }).await;
        }
        self.with_process(name, |managed| managed.exit_expected = true)?;
        self.signal(name, Signal::SIGTERM, None)
    }

    /// Stops a process as the platform does: `SIGTERM`, the grace period, then `SIGKILL`. Returns
    /// whether it exited within the grace period with status 0.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub async fn stop(&self, name: ProcessName) -> Result<bool, FleetError> {
        self.with_process(name, |managed| managed.exit_expected = true)?;
        self.signal(name, Signal::SIGTERM, None)?;
        let grace = Duration::from_millis(self.config.topology.grace_ms) + STOP_MARGIN;
        poll_until(grace, || self.exit_status(name).is_some()).await;
        let clean = self.exit_status(name).is_some_and(|status| status.success());
        self.kill(name)?;
        Ok(clean)
    }

    fn exit_status(&self, name: ProcessName) -> Option<std::process::ExitStatus> {
        self.with_process(name, |managed| managed.process.as_mut().and_then(Process::exit_status))
            .ok()
            .flatten()
    }

    /// Restarts a process with the same address and disk, stopping it first if it runs. Its link
    /// faults are sent to it again once it responds.
    ///
    /// # Errors
    /// When it can't be started or does not respond in time.
    pub async fn restart(&self, name: ProcessName) -> Result<(), FleetError> {
        if self.is_running(name)? {
            self.stop(name).await?;
        }
        let (plan, launch) =
            self.with_process(name, |managed| (managed.plan.clone(), managed.launch.clone()))?;
        self.start_process(plan, launch)?;
        self.wait_started(name).await
    }

    pub(crate) async fn wait_started(&self, name: ProcessName) -> Result<(), FleetError> {
        self.wait_responding(name, START_TIMEOUT).await?;
        self.send_link_faults(name).await
    }

    /// Whether a process has been started and has not exited.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn is_running(&self, name: ProcessName) -> Result<bool, FleetError> {
        self.with_process(name, |managed| {
            managed.process.as_mut().is_some_and(|process| process.exit_status().is_none())
        })
    }

    /// An error for a process that exited without being stopped or killed by the fleet, if any has.
    pub(crate) fn unexpected_exit(&self) -> Option<FleetError> {
        let mut state = self.state();
        state.processes.iter_mut().filter(|(_, managed)| !managed.exit_expected).find_map(
            |(name, managed)| {
                let status = managed.process.as_mut()?.exit_status()?;
                let log = managed.launch.log_tail();
                Some(FleetError::ProcessExited {
                    name: *name,
                    status: describe_exit_status(status),
                    log,
                })
            },
        )
    }

    /// The status of all processes.
    #[must_use]
    pub fn status(&self) -> Vec<ProcessStatus> {
        let mut state = self.state();
        state.processes.iter_mut().map(|(name, managed)| managed.status(*name)).collect()
    }

    /// The last lines of a process's log.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn log(&self, name: ProcessName, lines: usize) -> Result<String, FleetError> {
        let log = self.with_process(name, |managed| managed.launch.log.clone())?;
        Ok(crate::process::tail(&log, lines))
    }

    /// Starts a process from its plan. Its seeds are the current addresses of stores and cores.
    pub(crate) fn start_planned(&self, plan: ProcessPlan) -> Result<(), FleetError> {
        let rpc = |kind| -> Vec<SocketAddr> {
            let state = self.state();
            let of_kind = state.processes.values().filter(|m| m.plan.name.kind == kind);
            of_kind.map(|m| m.plan.rpc()).filter(|rpc| *rpc != plan.rpc()).collect()
        };
        let (stores, cores) = (rpc(ProcessKind::Store), rpc(ProcessKind::Core));
        let launch = self.config.launch(
            &plan,
            select_seeds(self.config.topology.seeds, plan.name.index, &stores, &cores),
            &[],
        )?;
        self.start_process(plan, launch)
    }
}

impl ManagedProcess {
    fn status(&mut self, name: ProcessName) -> ProcessStatus {
        let (pid, state) = match &mut self.process {
            None => (None, "stopped".to_owned()),
            Some(process) => match process.exit_status() {
                Some(status) => (None, describe_exit_status(status)),
                None if process.frozen => (Some(process.id()), "frozen".to_owned()),
                None => (Some(process.id()), "running".to_owned()),
            },
        };
        let zone = self.plan.zone.to_string();
        ProcessStatus { name, zone, http: self.plan.http(), pid, state }
    }
}

fn data_folder(options: FleetOptions) -> Result<(PathBuf, Option<TempDir>), FleetError> {
    let Some(data) = options.data else {
        let created = tempfile::Builder::new().prefix("hooklug-fleet-").tempdir();
        let folder = created.map_err(FleetError::io("cannot create a temporary folder"))?;
        return Ok((folder.path().to_owned(), Some(folder)));
    };
    std::fs::create_dir_all(&data).map_err(FleetError::io("cannot create the data folder"))?;
    let data = data
        .canonicalize()
        .map_err(FleetError::io("cannot resolve the path of the data folder"))?;
    Ok((data, None))
}
