//! Detects versions whose engines never become ready. Gateways have no statistics of such versions,
//! so they are judged by the state of their engines. Pure: time and engine counts are passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_bundle::Bundle;
use hooklug_protocol::control::{ClusterView, MemberHealth};
use hooklug_state::meta::HarmReport;
use hooklug_types::{ServiceName, ServiceVersion};

use super::{JudgedVersion, Watched, watched};

/// Number of engines of one version, in total and ready.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Engines in the view, whatever their state.
    pub listed: usize,
    /// Engines among them that respond, report that they are ready and are not draining.
    pub ready: usize,
}

/// Returns the engine counts of all versions; a version without engines has no entry.
#[must_use]
pub fn standings(view: &ClusterView) -> BTreeMap<JudgedVersion, Standing> {
    let hosts = view.members.values().filter_map(|member| {
        let engine = member.engine.as_ref()?;
        let alive = member.health == MemberHealth::Alive;
        Some((&engine.service, &engine.version, alive && engine.ready && !engine.draining))
    });
    let applications = view
        .engines
        .values()
        .map(|engine| (&engine.service, &engine.version, engine.healthy && !engine.draining));
    let mut standings: BTreeMap<JudgedVersion, Standing> = BTreeMap::new();
    for (service, version, ready) in hosts.chain(applications) {
        let standing = standings.entry(JudgedVersion::new(service, version)).or_default();
        standing.listed += 1;
        standing.ready += usize::from(ready);
    }
    standings
}

/// Detects newest versions without a ready engine.
#[derive(Debug, Clone)]
pub struct ReadinessWatch {
    bound: Duration,
    /// Time since which a version has had no ready engine.
    waiting: BTreeMap<JudgedVersion, Instant>,
}

impl ReadinessWatch {
    /// Creates a monitor that reports a version after `bound` without a ready engine.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self { bound, waiting: BTreeMap::new() }
    }

    /// Returns a report for each newest version that has had no ready engine for the full bound
    /// while an older sound version has some. If no older version has a ready engine, a rollback
    /// would not help, so the version is not reported.
    pub fn evaluate(
        &mut self,
        bundle: &Bundle,
        standings: &BTreeMap<JudgedVersion, Standing>,
        now: Instant,
    ) -> Vec<HarmReport> {
        let mut reports = Vec::new();
        let mut waiting = BTreeMap::new();
        for watched in bundle.services.iter().filter_map(|(name, service)| watched(name, service)) {
            let judged = JudgedVersion::new(watched.name, watched.new);
            let standing = standings.get(&judged).copied().unwrap_or_default();
            if standing.ready > 0 {
                continue;
            }
            let since = self.waiting.get(&judged).copied().unwrap_or(now);
            if now.saturating_duration_since(since) >= self.bound
                && let Some(older) = ready_older(&watched, standings)
            {
                reports.push(self.report(&watched, standing, older));
            }
            waiting.insert(judged, since);
        }
        self.waiting = waiting;
        reports
    }

    fn report(
        &self,
        watched: &Watched<'_>,
        standing: Standing,
        (older, ready): (&ServiceVersion, usize),
    ) -> HarmReport {
        let reason = format!(
            "no engine of it was ready for {} s ({} listed), of {older} {ready} are ready",
            self.bound.as_secs(),
            standing.listed,
        );
        HarmReport {
            service: ServiceName::clone(watched.name),
            version: watched.new.clone(),
            route: None,
            reason,
        }
    }
}

/// Returns the newest older version that has ready engines, and their number.
fn ready_older<'a>(
    watched: &Watched<'a>,
    standings: &BTreeMap<JudgedVersion, Standing>,
) -> Option<(&'a ServiceVersion, usize)> {
    watched.older.iter().find_map(|older| {
        let standing = standings.get(&JudgedVersion::new(watched.name, older))?;
        (standing.ready > 0).then_some((*older, standing.ready))
    })
}
