//! Stand-ins of a running fleet: their faults, their ledgers, and further ones in a release.

use hooklug_emulator::{Faults, LedgerLine, Restart};
use http::Method;

use crate::http::Ask;
use crate::plan::{Job, Plan};
use crate::topology::{ApplicationGroup, ModelGroup};
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

impl Fleet {
    /// Replaces the faults of a stand-in.
    ///
    /// # Errors
    /// When it can't be told.
    pub async fn set_faults(&self, name: ProcessName, faults: &Faults) -> Result<(), FleetError> {
        self.switch(name, Ask::json(Method::PUT, "/emulator/faults", faults)).await
    }

    /// Restarts a stand-in in place, perhaps as another service or version.
    ///
    /// # Errors
    /// When it can't be told.
    pub async fn restart_stand_in(
        &self,
        name: ProcessName,
        restart: &Restart,
    ) -> Result<(), FleetError> {
        self.switch(name, Ask::json(Method::PUT, "/emulator/restart", restart)).await
    }

    async fn switch(&self, name: ProcessName, ask: Ask) -> Result<(), FleetError> {
        let answer = self.http.ask(self.http_address(name)?, &ask).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(answer
            .json::<serde_json::Value>()
            .map_or_else(FleetError::Http, |value| FleetError::Unexpected(value.to_string())))
    }

    /// All that a stand-in ran, over its restarts; read from its file, so also after its end.
    ///
    /// # Errors
    /// When the file does not decode.
    pub fn ledger(&self, name: ProcessName) -> Result<Vec<LedgerLine>, FleetError> {
        let path = self.common.folder(name).join("ledger");
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        // A line cut by a kill is none.
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        whole
            .lines()
            .map(serde_json::from_str)
            .collect::<Result<_, _>>()
            .map_err(|e| FleetError::Unexpected(format!("{}: {e}", path.display())))
    }

    /// The ledgers of all stand-ins of a kind.
    ///
    /// # Errors
    /// When a file does not decode.
    pub fn ledgers(&self, kind: ProcessKind) -> Result<Vec<LedgerLine>, FleetError> {
        let mut lines = Vec::new();
        for name in self.names(kind) {
            lines.extend(self.ledger(name)?);
        }
        Ok(lines)
    }

    /// Adds a session-host engine with a model server, in a release for example.
    ///
    /// # Errors
    /// When one of them can't be started or does not answer.
    pub async fn add_engine(&self, group: &ModelGroup) -> Result<ProcessName, FleetError> {
        let model = self.add(ProcessKind::Model, Job::Model { group: group.clone() }).await?;
        let model = self.http_address(model)?;
        self.add(ProcessKind::Engine, Job::Engine { group: group.clone(), model }).await
    }

    /// Adds an application engine and lists it.
    ///
    /// # Errors
    /// When it can't be started or the list can't be changed.
    pub async fn add_application(
        &self,
        group: &ApplicationGroup,
    ) -> Result<ProcessName, FleetError> {
        let name = self.add(ProcessKind::App, Job::App { group: group.clone() }).await?;
        self.list_applications().await?;
        Ok(name)
    }

    async fn add(&self, kind: ProcessKind, job: Job) -> Result<ProcessName, FleetError> {
        let index = self.names(kind).last().map_or(0, |name| name.index + 1);
        let name = ProcessName::new(kind, index);
        let ip = self.inner().range.draw()?;
        let zone = self.common.topology.zone(index).clone();
        self.begin_planned(Plan { name, ip, zone, job })?;
        self.answer_again(name).await?;
        Ok(name)
    }
}
