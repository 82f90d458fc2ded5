//! The application engines: the platform's list joined with each engine's own word. Pure: time and
//! answers are passed in.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hooklug_protocol::control::{ApplicationEngine, ProbeFinding, ProbeOutcome, ProbedEngine};
use hooklug_types::{EngineId, ZoneName};

use super::platform::ListedEngine;

/// Probes in a row without an answer after which an engine counts as unhealthy (ours: two; a refused
/// connection counts at once).
const FAILURES_TOLERATED: u32 = 1;

/// Time without an answer after which an engine leaves the view (ours).
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// Time without word of an address after which the leader probes it itself (ours).
const OVERDUE_AFTER: Duration = Duration::from_millis(1_800);

#[derive(Debug, Clone)]
struct Entry {
    engine: ApplicationEngine,
    failures: u32,
    last_answer: Instant,
}

/// The application engines that the cores know.
#[derive(Debug, Clone, Default)]
pub struct EngineTable {
    listed: BTreeMap<SocketAddr, ZoneName>,
    entries: BTreeMap<EngineId, Entry>,
    /// When each address was last told of, by whichever core.
    told: BTreeMap<SocketAddr, Instant>,
}

impl EngineTable {
    /// Takes over what the former leader knew.
    #[must_use]
    pub fn take_over(engines: &BTreeMap<EngineId, ApplicationEngine>, now: Instant) -> Self {
        let entry =
            |e: &ApplicationEngine| Entry { engine: e.clone(), failures: 0, last_answer: now };
        let entries = engines.iter().map(|(id, e)| (id.clone(), entry(e))).collect();
        Self { entries, ..Self::default() }
    }

    /// Takes the platform's list as it was read now.
    pub fn set_list(&mut self, list: Vec<ListedEngine>) {
        self.listed = list.into_iter().map(|e| (e.address, e.zone)).collect();
    }

    /// Addresses to probe: those listed, and those of engines known before, since the list lags.
    #[must_use]
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let known = self.entries.values().map(|e| e.engine.address);
        self.listed.keys().copied().chain(known).collect()
    }

    /// Addresses to probe that no core has told of lately.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let lately = |address: &SocketAddr| {
            let told = self.told.get(address);
            told.is_some_and(|at| now.saturating_duration_since(*at) < OVERDUE_AFTER)
        };
        self.addresses().into_iter().filter(|address| !lately(address)).collect()
    }

    /// Takes the outcome of a probe.
    pub fn probed(&mut self, outcome: &ProbeOutcome, now: Instant) {
        let address = outcome.address;
        self.told.insert(address, now);
        match &outcome.finding {
            ProbeFinding::Engine(engine) => self.answered(address, engine, now),
            ProbeFinding::Other => self.entries.retain(|_, e| e.engine.address != address),
            ProbeFinding::Refused => self.failed(address, true),
            ProbeFinding::NoAnswer => self.failed(address, false),
        }
    }

    fn answered(&mut self, address: SocketAddr, told: &ProbedEngine, now: Instant) {
        // Whoever was known at this address is not there any more.
        self.entries.retain(|id, e| e.engine.address != address || *id == told.engine);
        let known = self.entries.get(&told.engine);
        if known.is_some_and(|e| e.engine.incarnation > told.incarnation) {
            return;
        }
        let known_zone = known.map(|e| e.engine.zone.clone());
        let Some(zone) = self.listed.get(&address).cloned().or(known_zone) else { return };
        let engine = ApplicationEngine {
            engine: told.engine.clone(),
            incarnation: told.incarnation,
            service: told.service.clone(),
            version: told.version.clone(),
            address,
            zone,
            draining: told.draining,
            healthy: told.ready,
        };
        self.entries.insert(told.engine.clone(), Entry { engine, failures: 0, last_answer: now });
    }

    fn failed(&mut self, address: SocketAddr, certain: bool) {
        for entry in self.entries.values_mut().filter(|e| e.engine.address == address) {
            entry.failures += 1;
            if certain || entry.failures > FAILURES_TOLERATED {
                entry.engine.healthy = false;
            }
        }
    }

    /// Forgets engines that have not answered for long.
    pub fn look(&mut self, now: Instant) {
        self.entries.retain(|_, e| now.saturating_duration_since(e.last_answer) < FORGET_AFTER);
        self.told.retain(|_, at| now.saturating_duration_since(*at) < FORGET_AFTER);
    }

    /// The engines as the view shows them.
    #[must_use]
    pub fn engines(&self) -> BTreeMap<EngineId, ApplicationEngine> {
        self.entries.iter().map(|(id, e)| (id.clone(), e.engine.clone())).collect()
    }
}
