//! Detects versions whose engines never become ready. Gateways have no statistics of such versions,
//! so they are judged by the state of their engines. Pure: time and engine counts are passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_bundle::Bundle;
use hooklug_protocol::control::{ClusterView, MemberHealth};
use hooklug_state::meta::HarmReport;
use hooklug_types::{ServiceName, ServiceVersion};

use super::{Candidate, JudgedVersion, candidate};

/// Number of engines of one version, in total and ready.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines in the view, whatever their state.
    pub listed: usize,
    /// Engines among them that respond, report that they are ready and are not draining.
    pub ready: usize,
}

/// Returns the engine counts of all versions; a version without engines has no entry.
#[must_use]
pub fn engine_counts(view: &ClusterView) -> BTreeMap<JudgedVersion, EngineCounts> {
    let hosts = view.members.values().filter_map(|member| {
        let engine = member.engine.as_ref()?;
        let alive = member.health == MemberHealth::Alive;
        Some((&engine.service, &engine.version, alive && engine.ready && !engine.draining))
    });
    let applications = view
        .engines
        .values()
        .map(|engine| (&engine.service, &engine.version, engine.healthy && !engine.draining));
    let mut engine_counts: BTreeMap<JudgedVersion, EngineCounts> = BTreeMap::new();
    for (service, version, ready) in hosts.chain(applications) {
        let counts = engine_counts.entry(JudgedVersion::new(service, version)).or_default();
        counts.listed += 1;
        counts.ready += usize::from(ready);
    }
    engine_counts
}

/// Detects newest versions without a ready engine.
#[derive(Debug, Clone)]
pub struct ReadinessMonitor {
    bound: Duration,
    /// Time since which a version has had no ready engine.
    unready_since: BTreeMap<JudgedVersion, Instant>,
}

impl ReadinessMonitor {
    /// Creates a monitor that reports a version after `bound` without a ready engine.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self { bound, unready_since: BTreeMap::new() }
    }

    /// Returns a report for each newest version that has had no ready engine for the full bound
    /// while an older sound version has some. If no older version has a ready engine, a rollback
    /// would not help, so the version is not reported.
    pub fn evaluate(
        &mut self,
        bundle: &Bundle,
        engine_counts: &BTreeMap<JudgedVersion, EngineCounts>,
        now: Instant,
    ) -> Vec<HarmReport> {
        let mut reports = Vec::new();
        let mut unready_since = BTreeMap::new();
        for candidate in
            bundle.services.iter().filter_map(|(name, service)| candidate(name, service))
        {
            let judged = JudgedVersion::new(candidate.name, candidate.new);
            let counts = engine_counts.get(&judged).copied().unwrap_or_default();
            if counts.ready > 0 {
                continue;
            }
            let since = self.unready_since.get(&judged).copied().unwrap_or(now);
            if now.saturating_duration_since(since) >= self.bound
                && let Some(older) = ready_older(&candidate, engine_counts)
            {
                reports.push(self.report(&candidate, counts, older));
            }
            unready_since.insert(judged, since);
        }
        self.unready_since = unready_since;
        reports
    }

    fn report(
        &self,
        candidate: &Candidate<'_>,
        counts: EngineCounts,
        (older, ready): (&ServiceVersion, usize),
    ) -> HarmReport {
        let reason = format!(
            "no engine of it was ready for {} s ({} listed), of {older} {ready} are ready",
            self.bound.as_secs(),
            counts.listed,
        );
        HarmReport {
            service: ServiceName::clone(candidate.name),
            version: candidate.new.clone(),
            route: None,
            reason,
        }
    }
}

/// Returns the newest older version that has ready engines, and their number.
fn ready_older<'a>(
    candidate: &Candidate<'a>,
    engine_counts: &BTreeMap<JudgedVersion, EngineCounts>,
) -> Option<(&'a ServiceVersion, usize)> {
    candidate.older.iter().find_map(|older| {
        let counts = engine_counts.get(&JudgedVersion::new(candidate.name, older))?;
        (counts.ready > 0).then_some((*older, counts.ready))
    })
}
