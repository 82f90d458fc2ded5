//! Runs load, operators and random faults together.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hooklug_fleet::{Fleet, FleetError, FleetOptions, Topology};
use tokio_util::sync::CancellationToken;

use super::Outcome;
use crate::faults::{ChaosOptions, RunProgress, run_rounds};
use crate::workload::{
    Client, Profile, Recorder, now, poll_versions, read_final_state, run_operator, run_programs,
};

/// Time for leases to expire and late work to finish before the results are read.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time over which the starts of programs are spread.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// A run with random faults.
#[derive(Debug, Clone)]
pub struct Chaos {
    /// Topology of the fleet.
    pub topology: Topology,
    /// Time during which faults are injected.
    pub time: Duration,
    /// Seed of faults, load and operators.
    pub seed: u64,
    /// Number of concurrent programs.
    pub programs: usize,
    /// Data folder of the fleet. If `None`, a temporary one is used.
    pub data: Option<PathBuf>,
}

/// Returns a topology of four stores, three cores, three gateways, four session-host engines and
/// six application engines.
#[must_use]
pub fn default_topology() -> Topology {
    let mut topology = Topology::small();
    topology.name = "chaos".to_owned();
    topology.gateways = 3;
    topology.models.truncate(1);
    topology.models[0].engines = 4;
    for group in &mut topology.applications {
        group.engines = 3;
    }
    topology
}

impl Chaos {
    /// Runs the scenario and checks its evidence.
    ///
    /// # Errors
    /// If the fleet cannot be started or a fault cannot be injected or ended.
    pub async fn run(&self, progress: &dyn RunProgress) -> Result<Outcome, FleetError> {
        let options = FleetOptions { data: self.data.clone() };
        let fleet = Arc::new(Fleet::start_with(self.topology.clone(), options).await?);
        progress.report_line(&format!("{} processes are running", fleet.all_names().len()));
        let recorder = Recorder::default();
        let client = Client::new(&fleet, recorder.clone());
        let profile = Profile::of(&self.topology);
        let stop = CancellationToken::new();
        let from = now();
        let load = {
            let (client, profile, stop) = (client.clone(), profile.clone(), stop.clone());
            let (programs, seed) = (self.programs, self.seed);
            tokio::spawn(async move {
                run_programs(&client, &profile, programs, RAMP_TIME, seed, &stop).await;
            })
        };
        let operators =
            tokio::spawn(run_operator(fleet.clone(), recorder.clone(), self.seed, stop.clone()));
        let observer = tokio::spawn(poll_versions(fleet.clone(), recorder.clone(), stop.clone()));
        let options = ChaosOptions { time: self.time, seed: self.seed };
        let rounds = run_rounds(&fleet, &client, &profile, options, progress).await;
        let to = now();
        stop.cancel();
        // A panic in one of these tasks is a bug of the load tool.
        let joined = tokio::join!(load, operators, observer);
        joined.0.and(joined.1).and(joined.2).map_err(|e| FleetError::Unexpected(e.to_string()))?;
        rounds?;
        tokio::time::sleep(SETTLE_TIME).await;
        read_final_state(&fleet, &client).await?;
        let evidence = recorder.snapshot();
        Ok(Outcome::of("chaos", &evidence, (from, to), &[]))
    }
}
