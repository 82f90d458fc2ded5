//! Fake backends of a running fleet: sets their faults, reads their ledgers, and adds further
//! backends, for example for a release.

use hooklug_emulator::{Faults, LedgerLine, Restart};
use http::Method;

use crate::http::HttpRequest;
use crate::plan::{ProcessPlan, ProcessRole};
use crate::topology::{ApplicationGroup, ModelGroup};
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

impl Fleet {
    /// Replaces the faults of a fake backend.
    ///
    /// # Errors
    /// When the backend does not respond or rejects the request.
    pub async fn set_faults(&self, name: ProcessName, faults: &Faults) -> Result<(), FleetError> {
        self.put_control(name, HttpRequest::json(Method::PUT, "/emulator/faults", faults)).await
    }

    /// Restarts a fake backend in place, optionally as another service or version.
    ///
    /// # Errors
    /// When the backend does not respond or rejects the request.
    pub async fn restart_fake_backend(
        &self,
        name: ProcessName,
        restart: &Restart,
    ) -> Result<(), FleetError> {
        self.put_control(name, HttpRequest::json(Method::PUT, "/emulator/restart", restart)).await
    }

    async fn put_control(&self, name: ProcessName, request: HttpRequest) -> Result<(), FleetError> {
        let response = self.http.send(self.http_address(name)?, &request).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(response
            .json::<serde_json::Value>()
            .map_or_else(FleetError::Http, |value| FleetError::Unexpected(value.to_string())))
    }

    /// The ledger of a fake backend over all its restarts. It is read from its file, so the process
    /// may have exited.
    ///
    /// # Errors
    /// When a line of the file can't be decoded.
    pub fn ledger(&self, name: ProcessName) -> Result<Vec<LedgerLine>, FleetError> {
        let path = self.config.folder(name).join("ledger");
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        // Ignores a last line without a line end: the process was killed while it wrote it.
        let complete_lines = text.rsplit_once('\n').map_or("", |(lines, _)| lines);
        complete_lines.lines().map(serde_json::from_str).collect::<Result<_, _>>().map_err(|e| {
            FleetError::Unexpected(format!("cannot decode the ledger {}: {e}", path.display()))
        })
    }

    /// The ledgers of all fake backends of a kind.
    ///
    /// # Errors
    /// When a line of a file can't be decoded.
    pub fn ledgers(&self, kind: ProcessKind) -> Result<Vec<LedgerLine>, FleetError> {
        let mut lines = Vec::new();
        for name in self.names(kind) {
            lines.extend(self.ledger(name)?);
        }
        Ok(lines)
    }

    /// Adds a session-host engine with a fake model server.
    ///
    /// # Errors
    /// When one of them can't be started or does not respond.
    pub async fn add_engine(&self, group: &ModelGroup) -> Result<ProcessName, FleetError> {
        let model = self
            .add_process(ProcessKind::Model, ProcessRole::Model { group: group.clone() })
            .await?;
        let model = self.http_address(model)?;
        self.add_process(ProcessKind::Engine, ProcessRole::Engine { group: group.clone(), model })
            .await
    }

    /// Adds a fake application engine and registers it in the platform's engine list.
    ///
    /// # Errors
    /// When it can't be started or the list can't be updated.
    pub async fn add_application(
        &self,
        group: &ApplicationGroup,
    ) -> Result<ProcessName, FleetError> {
        let name =
            self.add_process(ProcessKind::App, ProcessRole::App { group: group.clone() }).await?;
        self.list_applications().await?;
        Ok(name)
    }

    async fn add_process(
        &self,
        kind: ProcessKind,
        role: ProcessRole,
    ) -> Result<ProcessName, FleetError> {
        let index = self.names(kind).last().map_or(0, |name| name.index + 1);
        let name = ProcessName::new(kind, index);
        let ip = self.state().range.allocate()?;
        let zone = self.config.topology.zone(index).clone();
        self.start_planned(ProcessPlan { name, ip, zone, role })?;
        self.wait_started(name).await?;
        Ok(name)
    }
}
