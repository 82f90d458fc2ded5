//! Replaces processes, empties disks and restarts nodes one after another.

use std::time::Duration;

use hooklug_emulator::{EngineList, ListedEngine};
use http::Method;

use crate::http::HttpRequest;
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

/// Timeout until a restarted node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

impl Fleet {
    /// Replaces a process by one with an empty disk at a new address.
    ///
    /// # Errors
    /// When the new process can't be started or does not respond.
    pub async fn replace(&self, name: ProcessName) -> Result<(), FleetError> {
        self.kill(name)?;
        let mut plan = self.plan(name)?;
        plan.ip = self.state().range.allocate()?;
        self.start_planned(plan)?;
        if name.kind == ProcessKind::App {
            self.list_applications().await?;
        }
        self.wait_started(name).await
    }

    /// Kills a store, deletes its data and starts it again at the same address.
    ///
    /// # Errors
    /// When it is not a store, can't be started or does not respond.
    pub async fn lose_disk(&self, name: ProcessName) -> Result<(), FleetError> {
        if name.kind != ProcessKind::Store {
            return Err(FleetError::Unexpected(format!("{name} is not a store and has no disk")));
        }
        self.kill(name)?;
        let disk = self.config.disk(&self.plan(name)?);
        if disk.exists() {
            std::fs::remove_dir_all(&disk)
                .map_err(FleetError::io("cannot delete the data folder of a store"))?;
        }
        self.restart(name).await
    }

    /// Restarts all nodes of the given kinds one after another, waiting until each is ready again.
    ///
    /// # Errors
    /// When a node is not ready in time.
    pub async fn rolling_restart(&self, kinds: &[ProcessKind]) -> Result<(), FleetError> {
        for kind in kinds {
            for name in self.names(*kind) {
                self.restart(name).await?;
                self.wait_ready(name, READY_TIMEOUT).await?;
            }
        }
        Ok(())
    }

    /// Sets the platform's engine list to all running application engines.
    ///
    /// # Errors
    /// When the list can't be updated.
    pub async fn list_applications(&self) -> Result<(), FleetError> {
        let mut engines = Vec::new();
        for name in self.names(ProcessKind::App) {
            let plan = self.plan(name)?;
            if self.is_running(name)? {
                engines.push(ListedEngine { address: plan.http(), zone: plan.zone });
            }
        }
        let request = HttpRequest::json(Method::PUT, "/emulator/engines", &EngineList { engines });
        let response = self.http.send(self.config.platform, &request).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(FleetError::Unexpected(format!(
            "update of the platform's engine list failed with status {}",
            response.status
        )))
    }
}
