//! Rolls back a version after a regression, through a new bundle based on the newest one.

use hooklug_bundle::{Bundle, VersionState};

use super::command::{MetaRefusal, MetaReply};
use super::machine::{CommandResult, MetaMachine};
use super::record::{BundleOrigin, HarmReport, RollbackRecord};

/// Number of rollbacks retained in the state.
pub const RETAINED_ROLLBACKS: usize = 64;

impl MetaMachine {
    /// Marks a version as rolled back. If it already is, replies with the bundle that rolled it
    /// back.
    pub(super) fn roll_back(&mut self, harm: HarmReport) -> CommandResult {
        let newest = self.newest_version();
        let Some(mut bundle) = self.state.archive.bundle(newest) else {
            return Err(nothing_to_roll_back("no bundle has been committed"));
        };
        if let Some(existing) = self.existing_rollback(&bundle, &harm) {
            return Ok(existing);
        }
        mark_rolled_back(&mut bundle, &harm)?;
        bundle.base = newest;
        bundle.version = newest.next();
        let record = self.commit_bundle(&bundle, BundleOrigin::Rollback(harm.clone()));
        self.record_rollback(RollbackRecord {
            bundle: record.version,
            harm,
            committed: record.committed,
        });
        Ok(MetaReply::Bundle(record))
    }

    fn existing_rollback(&self, bundle: &Bundle, harm: &HarmReport) -> Option<MetaReply> {
        let service = bundle.services.get(&harm.service)?;
        let marked = service
            .versions
            .iter()
            .any(|v| v.version == harm.version && v.state == VersionState::RolledBack);
        let same =
            |r: &&RollbackRecord| r.harm.service == harm.service && r.harm.version == harm.version;
        let record = self.state.meta.rollbacks.iter().rev().find(same).filter(|_| marked)?;
        self.state.archive.record(record.bundle).cloned().map(MetaReply::Bundle)
    }

    fn record_rollback(&mut self, record: RollbackRecord) {
        let rollbacks = &mut self.state.meta.rollbacks;
        rollbacks.push(record);
        let surplus = rollbacks.len().saturating_sub(RETAINED_ROLLBACKS);
        rollbacks.drain(..surplus);
    }
}

fn mark_rolled_back(bundle: &mut Bundle, harm: &HarmReport) -> Result<(), MetaRefusal> {
    let service = bundle
        .services
        .get_mut(&harm.service)
        .ok_or_else(|| nothing_to_roll_back("no such service"))?;
    let sound = service.versions.iter().filter(|v| v.state == VersionState::Sound).count();
    let entry = service
        .versions
        .iter_mut()
        .find(|v| v.version == harm.version && v.state == VersionState::Sound)
        .ok_or_else(|| nothing_to_roll_back("the version is not a sound version of the service"))?;
    if sound < 2 {
        return Err(nothing_to_roll_back("the version is the only sound version of the service"));
    }
    entry.state = VersionState::RolledBack;
    Ok(())
}

fn nothing_to_roll_back(reason: &str) -> MetaRefusal {
    MetaRefusal::NothingToRollBack { reason: reason.to_owned() }
}
