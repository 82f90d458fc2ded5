//! Machines that are replaced, lose their disks, or are restarted in turn.

use std::time::Duration;

use hooklug_emulator::{EngineList, ListedEngine};
use http::Method;

use crate::http::Ask;
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

/// Longest wait for a restarted node to be ready (ours).
const READY_TIME: Duration = Duration::from_secs(60);

impl Fleet {
    /// Replaces a machine by an empty one at a new address.
    ///
    /// # Errors
    /// When the new one can't be started or does not answer.
    pub async fn replace(&self, name: ProcessName) -> Result<(), FleetError> {
        self.kill(name)?;
        let mut plan = self.plan(name)?;
        plan.ip = self.inner().range.draw()?;
        self.begin_planned(plan)?;
        if name.kind == ProcessKind::App {
            self.list_applications().await?;
        }
        self.answer_again(name).await
    }

    /// Kills a store, empties its disk and starts it again at the same address.
    ///
    /// # Errors
    /// When it is no store, can't be started or does not answer.
    pub async fn lose_disk(&self, name: ProcessName) -> Result<(), FleetError> {
        if name.kind != ProcessKind::Store {
            return Err(FleetError::Unexpected(format!("{name} has no disk")));
        }
        self.kill(name)?;
        let disk = self.common.disk(&self.plan(name)?);
        if disk.exists() {
            std::fs::remove_dir_all(&disk).map_err(FleetError::io("cannot empty the disk"))?;
        }
        self.restart(name).await
    }

    /// Stops and starts all nodes of the given kinds, one after another, each until it is ready again.
    ///
    /// # Errors
    /// When one does not come back in time.
    pub async fn rolling_restart(&self, kinds: &[ProcessKind]) -> Result<(), FleetError> {
        for kind in kinds {
            for name in self.names(*kind) {
                self.restart(name).await?;
                self.wait_ready(name, READY_TIME).await?;
            }
        }
        Ok(())
    }

    /// Tells the platform's list of all application engines that run.
    ///
    /// # Errors
    /// When the list can't be told.
    pub async fn list_applications(&self) -> Result<(), FleetError> {
        let mut engines = Vec::new();
        for name in self.names(ProcessKind::App) {
            let plan = self.plan(name)?;
            if self.is_running(name)? {
                engines.push(ListedEngine { address: plan.http(), zone: plan.zone });
            }
        }
        let ask = Ask::json(Method::PUT, "/emulator/engines", &EngineList { engines });
        let answer = self.http.ask(self.common.platform, &ask).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(FleetError::Unexpected(format!("the engine list answers {}", answer.status)))
    }
}
