//! Table of the application engines: the platform's list combined with the probe result of each
//! engine. Pure: time and probe results are passed in.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hooklug_protocol::control::{ApplicationEngine, ProbeOutcome, ProbeResult, ProbedEngine};
use hooklug_types::{EngineId, ZoneName};

use super::platform::ListedEngine;

/// Consecutive probes without a response that are tolerated: an engine is unhealthy after the
/// second one. A refused connection counts at once.
const FAILURES_TOLERATED: u32 = 1;

/// Time without a response after which an engine is removed from the view.
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// Time without a probe result of an address after which the leader probes it itself.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_800);

#[derive(Debug, Clone)]
struct Entry {
    engine: ApplicationEngine,
    failures: u32,
    last_response: Instant,
}

/// The application engines that the cores know.
#[derive(Debug, Clone, Default)]
pub struct EngineTable {
    listed: BTreeMap<SocketAddr, ZoneName>,
    entries: BTreeMap<EngineId, Entry>,
    /// Time of the last probe result of each address, from any core.
    last_probed: BTreeMap<SocketAddr, Instant>,
}

impl EngineTable {
    /// Creates a table from the engines of the previous leader's view.
    #[must_use]
    pub fn take_over(engines: &BTreeMap<EngineId, ApplicationEngine>, now: Instant) -> Self {
        let entry =
            |e: &ApplicationEngine| Entry { engine: e.clone(), failures: 0, last_response: now };
        let entries = engines.iter().map(|(id, e)| (id.clone(), entry(e))).collect();
        Self { entries, ..Self::default() }
    }

    /// Replaces the platform's list with the one read last.
    pub fn set_list(&mut self, list: Vec<ListedEngine>) {
        self.listed = list.into_iter().map(|e| (e.address, e.zone)).collect();
    }

    /// Returns the addresses to probe: those listed and those of known engines, since the list
    /// lags.
    #[must_use]
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let known = self.entries.values().map(|e| e.engine.address);
        self.listed.keys().copied().chain(known).collect()
    }

    /// Returns the addresses to probe for which no core has sent a recent result.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let is_recent = |address: &SocketAddr| {
            let probed_at = self.last_probed.get(address);
            probed_at.is_some_and(|at| now.saturating_duration_since(*at) < OVERDUE_AFTER)
        };
        self.addresses().into_iter().filter(|address| !is_recent(address)).collect()
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, outcome: &ProbeOutcome, now: Instant) {
        let address = outcome.address;
        self.last_probed.insert(address, now);
        match &outcome.result {
            ProbeResult::Engine(engine) => self.record_response(address, engine, now),
            ProbeResult::Other => self.entries.retain(|_, e| e.engine.address != address),
            ProbeResult::Refused => self.record_failure(address, true),
            ProbeResult::NoAnswer => self.record_failure(address, false),
        }
    }

    fn record_response(&mut self, address: SocketAddr, probed: &ProbedEngine, now: Instant) {
        // Any other engine known at this address is no longer there.
        self.entries.retain(|id, e| e.engine.address != address || *id == probed.engine);
        let known = self.entries.get(&probed.engine);
        if known.is_some_and(|e| e.engine.incarnation > probed.incarnation) {
            return;
        }
        let known_zone = known.map(|e| e.engine.zone.clone());
        let Some(zone) = self.listed.get(&address).cloned().or(known_zone) else { return };
        let engine = ApplicationEngine {
            engine: probed.engine.clone(),
            incarnation: probed.incarnation,
            service: probed.service.clone(),
            version: probed.version.clone(),
            address,
            zone,
            draining: probed.draining,
            healthy: probed.ready,
        };
        self.entries
            .insert(probed.engine.clone(), Entry { engine, failures: 0, last_response: now });
    }

    fn record_failure(&mut self, address: SocketAddr, is_refused: bool) {
        for entry in self.entries.values_mut().filter(|e| e.engine.address == address) {
            entry.failures += 1;
            if is_refused || entry.failures > FAILURES_TOLERATED {
                entry.engine.healthy = false;
            }
        }
    }

    /// Removes engines that have not responded for `FORGET_AFTER`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, e| now.saturating_duration_since(e.last_response) < FORGET_AFTER);
        self.last_probed.retain(|_, at| now.saturating_duration_since(*at) < FORGET_AFTER);
    }

    /// Returns the engines as shown in the view.
    #[must_use]
    pub fn engines(&self) -> BTreeMap<EngineId, ApplicationEngine> {
        self.entries.iter().map(|(id, e)| (id.clone(), e.engine.clone())).collect()
    }
}
