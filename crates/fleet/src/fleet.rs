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
use crate::plan::{Common, Job, Plan, plan_all, seeds};
use crate::process::{Launch, Process, describe, poll_until};
use crate::{FleetError, ProcessKind, ProcessName, Topology};

/// Timeout of each stage of fleet startup (issue: the largest fleet starts within 30 s).
const START_TIME: Duration = Duration::from_secs(60);
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
    inner: Mutex<Inner>,
    pub(crate) common: Common,
    pub(crate) http: HttpClient,
    // Declared last, so that the folder is removed after the processes have been killed.
    _folder: Option<TempDir>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub range: AddressRange,
    pub members: BTreeMap<ProcessName, Member>,
    pub links: Links,
}

/// A process of the fleet and how to start it again; the process may have exited.
#[derive(Debug)]
pub(crate) struct Member {
    pub plan: Plan,
    pub launch: Launch,
    pub process: Option<Process>,
    /// Whether an exit is expected, because the process was stopped or killed on request.
    pub expected_end: bool,
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
        fleet.wait_alive(START_TIME).await?;
        fleet.tell_zone_delays().await?;
        fleet.submit_first_bundle(START_TIME).await?;
        fleet.wait_serving(START_TIME).await?;
        Ok(fleet)
    }

    /// Starts all processes without waiting until they are ready.
    ///
    /// # Errors
    /// When a process can't be started.
    pub fn launch(topology: Topology, options: FleetOptions) -> Result<Self, FleetError> {
        let binaries = Binaries::find()?;
        let mut range = AddressRange::claim()?;
        let plans = plan_all(&topology, &mut range)?;
        let (data, folder) = data_folder(options)?;
        let platform = plans.iter().find(|p| p.job == Job::Platform).map(Plan::http);
        let platform = platform.ok_or_else(|| {
            FleetError::Unexpected("the topology has no platform process".to_owned())
        })?;
        let secret = format!("{:032x}", rand::random::<u128>());
        let common = Common { topology, binaries, data, secret, platform };
        let members = BTreeMap::new();
        let inner = Mutex::new(Inner { range, members, links: Links::default() });
        let fleet = Self { inner, common, http: HttpClient::default(), _folder: folder };
        fleet.launch_all(plans)?;
        Ok(fleet)
    }

    fn launch_all(&self, mut plans: Vec<Plan>) -> Result<(), FleetError> {
        // Fakes start first, so that nodes find their backends at once.
        plans.sort_by_key(|plan| (plan.name.kind.is_node(), plan.name));
        let addresses = |kind| -> Vec<SocketAddr> {
            plans.iter().filter(|p| p.name.kind == kind).map(Plan::rpc).collect()
        };
        let (stores, cores) = (addresses(ProcessKind::Store), addresses(ProcessKind::Core));
        let apps: Vec<Plan> =
            plans.iter().filter(|p| p.name.kind == ProcessKind::App).cloned().collect();
        for (place, plan) in plans.into_iter().enumerate() {
            let launch = self.common.launch(
                &plan,
                seeds(self.common.topology.seeds, place, &stores, &cores),
                &apps,
            )?;
            self.begin(plan, launch)?;
        }
        Ok(())
    }

    /// Starts a process and registers it under its name, replacing an earlier process of that name.
    pub(crate) fn begin(&self, plan: Plan, launch: Launch) -> Result<(), FleetError> {
        let process = Some(Process::start(&launch)?);
        let name = plan.name;
        let member = Member { plan, launch, process, expected_end: false };
        self.inner().members.insert(name, member);
        Ok(())
    }

    pub(crate) fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn with_member<T>(
        &self,
        name: ProcessName,
        act: impl FnOnce(&mut Member) -> T,
    ) -> Result<T, FleetError> {
        self.inner().members.get_mut(&name).map(act).ok_or(FleetError::NoProcess(name))
    }

    pub(crate) fn plan(&self, name: ProcessName) -> Result<Plan, FleetError> {
        self.with_member(name, |member| member.plan.clone())
    }

    /// The names of all processes of a kind.
    #[must_use]
    pub fn names(&self, kind: ProcessKind) -> Vec<ProcessName> {
        self.inner().members.keys().filter(|name| name.kind == kind).copied().collect()
    }

    /// The names of all processes.
    #[must_use]
    pub fn all_names(&self) -> Vec<ProcessName> {
        self.inner().members.keys().copied().collect()
    }

    /// The topology from which the fleet was started.
    #[must_use]
    pub fn topology(&self) -> &Topology {
        &self.common.topology
    }

    /// The folder for logs, settings, ledgers and disks.
    #[must_use]
    pub fn data(&self) -> &Path {
        &self.common.data
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
        let inner = self.inner();
        let gateways = inner.members.values().filter(|m| m.plan.job == Job::Gateway);
        gateways.map(|m| m.plan.http()).collect()
    }

    /// Kills a process (`SIGKILL`).
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn kill(&self, name: ProcessName) -> Result<(), FleetError> {
        self.with_member(name, |member| {
            member.expected_end = true;
            if let Some(process) = &mut member.process {
                process.kill();
            }
        })
    }

    /// Marks the exit of a process as expected, for example that of an engine that is draining.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn allow_end(&self, name: ProcessName) -> Result<(), FleetError> {
        self.with_member(name, |member| member.expected_end = true)
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
    pub fn wake(&self, name: ProcessName) -> Result<(), FleetError> {
        self.signal(name, Signal::SIGCONT, Some(false))
    }

    /// Sends `SIGHUP`, on which a process reloads its settings.
    ///
    /// # Errors
    /// When the fleet has no process of that name, or the signal can't be sent.
    pub fn hang_up(&self, name: ProcessName) -> Result<(), FleetError> {
        self.signal(name, Signal::SIGHUP, None)
    }

    fn signal(
        &self,
        name: ProcessName,
        signal: Signal,
        frozen: Option<bool>,
    ) -> Result<(), FleetError> {
        self.with_member(name, |member| {
            let Some(process) = &mut member.process else { return Ok(()) };
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
        self.with_member(name, |member| member.expected_end = true)?;
        self.signal(name, Signal::SIGTERM, None)
    }

    /// Stops a process as the platform does: `SIGTERM`, the grace period, then `SIGKILL`. Returns
    /// whether it exited within the grace period with status 0.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub async fn stop(&self, name: ProcessName) -> Result<bool, FleetError> {
        self.with_member(name, |member| member.expected_end = true)?;
        self.signal(name, Signal::SIGTERM, None)?;
        let grace = Duration::from_millis(self.common.topology.grace_ms) + STOP_MARGIN;
        poll_until(grace, || self.exit_status(name).is_some()).await;
        let clean = self.exit_status(name).is_some_and(|status| status.success());
        self.kill(name)?;
        Ok(clean)
    }

    fn exit_status(&self, name: ProcessName) -> Option<std::process::ExitStatus> {
        self.with_member(name, |member| member.process.as_mut().and_then(Process::ended))
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
            self.with_member(name, |member| (member.plan.clone(), member.launch.clone()))?;
        self.begin(plan, launch)?;
        self.answer_again(name).await
    }

    pub(crate) async fn answer_again(&self, name: ProcessName) -> Result<(), FleetError> {
        self.wait_answers(name, START_TIME).await?;
        self.tell_links(name).await
    }

    /// Whether a process has been started and has not exited.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn is_running(&self, name: ProcessName) -> Result<bool, FleetError> {
        self.with_member(name, |member| {
            member.process.as_mut().is_some_and(|process| process.ended().is_none())
        })
    }

    /// An error for a process that exited without being stopped or killed by the fleet, if any has.
    pub(crate) fn ended_by_itself(&self) -> Option<FleetError> {
        let mut inner = self.inner();
        inner.members.iter_mut().filter(|(_, member)| !member.expected_end).find_map(
            |(name, member)| {
                let status = member.process.as_mut()?.ended()?;
                let log = member.launch.log_tail();
                Some(FleetError::Ended { name: *name, status: describe(status), log })
            },
        )
    }

    /// The status of all processes.
    #[must_use]
    pub fn status(&self) -> Vec<ProcessStatus> {
        let mut inner = self.inner();
        inner.members.iter_mut().map(|(name, member)| member.status(*name)).collect()
    }

    /// The last lines of a process's log.
    ///
    /// # Errors
    /// When the fleet has no process of that name.
    pub fn log(&self, name: ProcessName, lines: usize) -> Result<String, FleetError> {
        let log = self.with_member(name, |member| member.launch.log.clone())?;
        Ok(crate::process::tail(&log, lines))
    }

    /// Starts a process from its plan. Its seeds are the current addresses of stores and cores.
    pub(crate) fn begin_planned(&self, plan: Plan) -> Result<(), FleetError> {
        let rpc = |kind| -> Vec<SocketAddr> {
            let inner = self.inner();
            let of_kind = inner.members.values().filter(|m| m.plan.name.kind == kind);
            of_kind.map(|m| m.plan.rpc()).filter(|rpc| *rpc != plan.rpc()).collect()
        };
        let (stores, cores) = (rpc(ProcessKind::Store), rpc(ProcessKind::Core));
        let launch = self.common.launch(
            &plan,
            seeds(self.common.topology.seeds, plan.name.index, &stores, &cores),
            &[],
        )?;
        self.begin(plan, launch)
    }
}

impl Member {
    fn status(&mut self, name: ProcessName) -> ProcessStatus {
        let (pid, state) = match &mut self.process {
            None => (None, "stopped".to_owned()),
            Some(process) => match process.ended() {
                Some(status) => (None, describe(status)),
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
        let made = tempfile::Builder::new().prefix("hooklug-fleet-").tempdir();
        let folder = made.map_err(FleetError::io("cannot create a temporary folder"))?;
        return Ok((folder.path().to_owned(), Some(folder)));
    };
    std::fs::create_dir_all(&data).map_err(FleetError::io("cannot create the data folder"))?;
    let data = data
        .canonicalize()
        .map_err(FleetError::io("cannot resolve the path of the data folder"))?;
    Ok((data, None))
}
