//! Tracks which tools were repeatable and non-repeatable under earlier bundles.
//!
//! Only non-repeatable calls leave records. When a bundle changes a tool's setting, calls exist
//! under both: a call that was claimed or sealed before must not run again, and a call that ran
//! without a record must not be reported as "not run". A tool that was ever non-repeatable is
//! therefore always treated as non-repeatable, and calls of a tool that was ever repeatable can
//! never be sealed. The meta group retains the latest bundles, from which a gateway that starts
//! learns the settings it has not seen itself.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::{ROUTES_SECTION, Route, RouteMatch};
use hooklug_control::InstalledBundle;
use hooklug_state::meta::{BundleRecord, MetaAnswer, MetaQuery, RETAINED_VERSIONS};
use hooklug_store::StateAccess;
use hooklug_types::{BundleVersion, Digest, RouteName};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use tracing::warn;

use crate::backoff::Backoff;

/// Timeout of one query of the meta group.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for which a call waits until the history of a new bundle is read.
const LEARN_TIMEOUT: Duration = Duration::from_secs(1);

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Repeat settings of tools in all bundles up to a version.
#[derive(Debug, Default)]
struct KnownTools {
    /// All bundles up to this version are covered; `None` before the first.
    up_to: Option<BundleVersion>,
    /// Route sections that were read.
    sections: HashSet<Digest>,
    /// Tools that were non-repeatable under any of them.
    non_repeatable: HashSet<String>,
    /// Tools that were repeatable under any of them.
    repeatable: HashSet<String>,
}

impl KnownTools {
    fn covers(&self, version: BundleVersion) -> bool {
        self.up_to.is_some_and(|up_to| up_to >= version)
    }

    fn add<'a>(&mut self, routes: impl Iterator<Item = &'a Route>) {
        for route in routes {
            let RouteMatch::Tool { tool } = &route.matches else { continue };
            let tools =
                if route.may_repeat { &mut self.repeatable } else { &mut self.non_repeatable };
            tools.insert(tool.clone());
        }
    }
}

/// How a tool's calls are treated, and whether all of them are recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// Repeatable under every known bundle.
    Repeatable,
    /// Non-repeatable under every known bundle.
    NonRepeatable,
    /// Non-repeatable now; repeatable under another bundle, where calls were not recorded.
    FormerlyRepeatable,
}

/// The repeat settings of tools over all known bundles.
#[derive(Debug, Default)]
pub struct RepeatHistory {
    known: watch::Sender<KnownTools>,
}

impl RepeatHistory {
    /// Returns how calls of a tool are treated under a bundle; `None` while the bundle's history is
    /// unknown.
    pub async fn repeatability(
        &self,
        bundle: &InstalledBundle,
        tool: &str,
        route: &Route,
    ) -> Option<Repeatability> {
        let version = bundle.record.version;
        if !self.known.borrow().covers(version) {
            let mut changes = self.known.subscribe();
            let covered = changes.wait_for(|known| known.covers(version));
            timeout(LEARN_TIMEOUT, covered).await.ok()?.ok()?;
        }
        let known = self.known.borrow();
        Some(if route.may_repeat && !known.non_repeatable.contains(tool) {
            Repeatability::Repeatable
        } else if known.repeatable.contains(tool) {
            Repeatability::FormerlyRepeatable
        } else {
            Repeatability::NonRepeatable
        })
    }

    /// Reads the history of each installed bundle until the bundle channel closes.
    pub async fn follow(
        &self,
        state: &dyn StateAccess,
        mut bundles: watch::Receiver<Option<Arc<InstalledBundle>>>,
    ) {
        loop {
            let installed = bundles.borrow_and_update().clone();
            if let Some(installed) = installed {
                self.learn_with_retries(state, &installed).await;
            }
            if bundles.changed().await.is_err() {
                return;
            }
        }
    }

    async fn learn_with_retries(&self, state: &dyn StateAccess, installed: &InstalledBundle) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        while let Err(error) = self.learn(state, installed).await {
            warn!(%error, "cannot read the history of bundles; retrying");
            sleep(backoff.next_wait()).await;
        }
    }

    async fn learn(
        &self,
        state: &dyn StateAccess,
        installed: &InstalledBundle,
    ) -> Result<(), HistoryError> {
        let from = self.known.borrow().up_to;
        let records = read_records(state, from, &installed.record).await?;
        let newest = records.first().map(|record| record.version);
        let mut found = Vec::new();
        for digest in records.iter().filter_map(|record| record.sections.get(ROUTES_SECTION)) {
            if !self.known.borrow().sections.contains(digest) {
                found.push((*digest, read_routes(state, *digest).await?));
            }
        }
        self.known.send_modify(|known| {
            known.add(installed.bundle.routes.values());
            for (digest, routes) in found {
                known.add(routes.values());
                known.sections.insert(digest);
            }
            known.up_to = known.up_to.max(newest).max(Some(installed.record.version));
        });
        Ok(())
    }
}

/// Why the history could not be read.
#[derive(Debug, thiserror::Error)]
enum HistoryError {
    #[error(transparent)]
    Unavailable(#[from] hooklug_store::Unavailable),
    #[error("a bundle's route section is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the meta group's reply does not match the query")]
    Unexpected,
}

/// Reads the records of the bundles after a version, newest first; all retained ones when there is
/// none. A bundle based on the last known one needs no query, as no version lies between them: with
/// thousands of changes a day and a long record each, reading them at every gateway would cost more
/// than all other control traffic.
async fn read_records(
    state: &dyn StateAccess,
    after: Option<BundleVersion>,
    newest: &BundleRecord,
) -> Result<Vec<BundleRecord>, HistoryError> {
    let all = u32::try_from(RETAINED_VERSIONS).unwrap_or(u32::MAX);
    let Some(after) = after else { return history(state, all).await };
    if newest.base <= after {
        return Ok(Vec::new());
    }
    let versions = newest.version.0.saturating_sub(after.0);
    let few = history(state, u32::try_from(versions).unwrap_or(all).min(all)).await?;
    if few.iter().any(|record| record.base <= after) {
        return Ok(few);
    }
    history(state, all).await
}

async fn history(state: &dyn StateAccess, limit: u32) -> Result<Vec<BundleRecord>, HistoryError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    match state.query_meta(&MetaQuery::History(limit), deadline).await? {
        MetaAnswer::History(records) => Ok(records),
        _ => Err(HistoryError::Unexpected),
    }
}

/// Reads the routes of a section; none when it is no longer retained.
async fn read_routes(
    state: &dyn StateAccess,
    digest: Digest,
) -> Result<BTreeMap<RouteName, Route>, HistoryError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    match state.query_meta(&MetaQuery::Section(digest), deadline).await? {
        MetaAnswer::Section(Some(bytes)) => Ok(serde_json::from_slice(&bytes)?),
        MetaAnswer::Section(None) => Ok(BTreeMap::new()),
        _ => Err(HistoryError::Unexpected),
    }
}
