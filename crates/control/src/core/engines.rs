//! The application engines: the platform's list joined with each engine's own word. Pure: time and
//! answers are passed in.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hooklug_protocol::control::ApplicationEngine;
use hooklug_types::{EngineId, ZoneName};

use super::platform::ListedEngine;
use super::probe::{BackendKind, HttpError, ProbeAnswer};

/// Probes in a row without an answer after which an engine counts as unhealthy (ours: two; a refused
/// connection counts at once).
const FAILURES_TOLERATED: u32 = 1;

/// Time without an answer after which an engine leaves the view (ours).
const FORGET_AFTER: Duration = Duration::from_secs(15);

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
}

impl EngineTable {
    /// Takes over what the former leader knew.
    #[must_use]
    pub fn take_over(engines: &BTreeMap<EngineId, ApplicationEngine>, now: Instant) -> Self {
        let entry =
            |e: &ApplicationEngine| Entry { engine: e.clone(), failures: 0, last_answer: now };
        let entries = engines.iter().map(|(id, e)| (id.clone(), entry(e))).collect();
        Self { listed: BTreeMap::new(), entries }
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

    /// Takes the outcome of a probe.
    pub fn probed(
        &mut self,
        address: SocketAddr,
        outcome: Result<ProbeAnswer, HttpError>,
        now: Instant,
    ) {
        match outcome {
            Ok(answer) => self.answered(address, &answer, now),
            Err(error) => self.failed(address, &error),
        }
    }

    fn answered(&mut self, address: SocketAddr, answer: &ProbeAnswer, now: Instant) {
        let identity = &answer.identity;
        // Whoever was known at this address is not there any more.
        self.entries.retain(|id, e| e.engine.address != address || *id == identity.engine);
        let newer = |e: &Entry| e.engine.incarnation > identity.incarnation;
        if identity.kind != BackendKind::Application
            || self.entries.get(&identity.engine).is_some_and(newer)
        {
            return;
        }
        let known_zone = self.entries.get(&identity.engine).map(|e| e.engine.zone.clone());
        let Some(zone) = self.listed.get(&address).cloned().or(known_zone) else { return };
        let engine = ApplicationEngine {
            engine: identity.engine.clone(),
            incarnation: identity.incarnation,
            service: identity.service.clone(),
            version: identity.version.clone(),
            address,
            zone,
            draining: answer.status.draining,
            healthy: answer.status.ready,
        };
        let id = engine.engine.clone();
        self.entries.insert(id, Entry { engine, failures: 0, last_answer: now });
    }

    fn failed(&mut self, address: SocketAddr, error: &HttpError) {
        let certain = matches!(error, HttpError::Refused);
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
    }

    /// The engines as the view shows them.
    #[must_use]
    pub fn engines(&self) -> BTreeMap<EngineId, ApplicationEngine> {
        self.entries.iter().map(|(id, e)| (id.clone(), e.engine.clone())).collect()
    }
}
