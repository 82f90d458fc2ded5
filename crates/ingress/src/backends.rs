//! The table of backends: the platform's list combined with the outcomes of this gateway's own
//! requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_control::backends::BackendList;
use hooklug_protocol::backends::ListedBackend;
use hooklug_types::{EngineId, ServiceName, ServiceVersion};
use rand::Rng;
use tokio::time::Instant;

use crate::choice::{self, Candidate};
use crate::load::LoadEstimate;
use crate::prefix_ring::{PrefixRing, in_ring_order};
use crate::prompt_caches::PromptCaches;
use crate::versions::AllowedVersions;
use crate::{LoadReport, PromptPart};

/// Time for which a backend is ejected after its first failure; doubles with each further failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(250);

/// Longest time for which a failing backend is ejected.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Time for which a backend that reported to be at capacity gets no requests.
const AT_CAPACITY_PAUSE: Duration = Duration::from_millis(30);

/// Largest share of a service's backends that may be ejected. If more fail, the fault is more likely
/// in this gateway or in the network, and ejections are ignored.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Weight of the newest response in the moving averages of latency and failures.
const NEWEST_WEIGHT: f64 = 0.1;

/// Time without a response after which a request that its caller abandons counts as a failure of
/// the backend. Otherwise a hung backend whose callers all give up would never record a failure.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1_500);

/// Outcome of one request, as it affects the backend's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend responded successfully after this time.
    Succeeded(Duration),
    /// The backend responded with an error.
    Failed,
    /// The backend was at capacity.
    AtCapacity,
    /// Another backend responds at the address.
    WrongBackend,
    /// No valid, complete response: the connection failed, or the response was lost or belongs to
    /// another request.
    NoResponse,
    /// The caller disconnected or the deadline passed, which does not indicate a fault of the backend.
    Unknown,
}

#[derive(Debug)]
struct Backend {
    listed: Arc<ListedBackend>,
    load: LoadEstimate,
    latency_ms: f64,
    /// Moving average of failed and lost responses, from 0 to 1.
    failure_share: f64,
    failures: u32,
    ejected_until: Option<Instant>,
    at_capacity_until: Option<Instant>,
    /// Whether another backend responded at the listed address.
    stale: bool,
}

impl Backend {
    fn new(listed: Arc<ListedBackend>) -> Self {
        Self {
            listed,
            load: LoadEstimate::default(),
            latency_ms: 0.0,
            failure_share: 0.0,
            failures: 0,
            ejected_until: None,
            at_capacity_until: None,
            stale: false,
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn has_capacity(&self, now: Instant) -> bool {
        self.at_capacity_until.is_none_or(|until| now >= until)
    }

    fn candidate(&self, missing_tokens: u32, now: Instant) -> Candidate<'_> {
        Candidate {
            id: &self.listed.id,
            requests: self.load.requests(now),
            missing_tokens,
            load: self.load.share(self.listed.slots, now),
            latency_ms: self.latency_ms,
            failure_share: self.failure_share,
        }
    }

    fn record(&mut self, outcome: Outcome, now: Instant) {
        let failed = match outcome {
            Outcome::Succeeded(_) => Some(0.0),
            Outcome::Failed | Outcome::NoResponse => Some(1.0),
            Outcome::AtCapacity | Outcome::WrongBackend | Outcome::Unknown => None,
        };
        if let Some(failed) = failed {
            self.failure_share += NEWEST_WEIGHT * (failed - self.failure_share);
        }
        match outcome {
            Outcome::Succeeded(latency) => {
                let time_ms = latency.as_secs_f64() * 1_000.0;
                let average = if self.latency_ms > 0.0 { self.latency_ms } else { time_ms };
                self.latency_ms = average + NEWEST_WEIGHT * (time_ms - average);
                (self.failures, self.ejected_until) = (0, None);
            }
            Outcome::AtCapacity => self.at_capacity_until = Some(now + AT_CAPACITY_PAUSE),
            Outcome::WrongBackend => self.stale = true,
            Outcome::Failed | Outcome::NoResponse => {
                let pause = BASE_EJECTION_TIME.saturating_mul(1 << self.failures.min(8));
                self.ejected_until = Some(now + pause.min(MAX_EJECTION_TIME));
                self.failures += 1;
            }
            Outcome::Unknown => {}
        }
    }
}

/// Kind of the request that a backend is selected for.
#[derive(Debug, Clone, Copy)]
pub enum RequestKind<'a> {
    /// A tool call, which any backend of the service can run equally well.
    Call,
    /// A prompt of these parts; engines that have them cached are preferred.
    Prompt(&'a [PromptPart]),
}

/// Criteria by which a backend is selected.
#[derive(Debug, Clone, Copy)]
pub struct SelectionCriteria<'a> {
    /// Service that the backend must belong to.
    pub service: &'a ServiceName,
    /// Versions that may receive the request.
    pub versions: &'a AllowedVersions,
    /// Backends that were already tried for this request.
    pub tried: &'a [EngineId],
    /// Kind of the request.
    pub kind: RequestKind<'a>,
}

/// Identity and address of a selected backend.
#[derive(Debug, Clone)]
pub struct PickedBackend {
    /// Engine id of the backend.
    pub id: EngineId,
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// Service of the backend.
    pub service: ServiceName,
    /// Version of the backend.
    pub version: ServiceVersion,
}

/// All backends that this gateway knows, with their load and health.
#[derive(Debug)]
pub struct BackendTable {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    backends: HashMap<EngineId, Backend>,
    by_service: HashMap<ServiceName, Vec<EngineId>>,
    caches: PromptCaches,
    rings: HashMap<ServiceName, PrefixRing>,
    /// This gateway's name, which determines its preferred subset of backends for calls.
    own_name: String,
}

impl BackendTable {
    /// Creates an empty table. The name must differ between gateways.
    #[must_use]
    pub fn new(own_name: String) -> Self {
        Self { inner: Mutex::new(Inner { own_name, ..Inner::default() }) }
    }

    /// Applies a new list of the platform. The state of backends that remain listed is retained.
    pub fn apply_list(&self, list: &BackendList) {
        let mut inner = self.lock();
        inner.backends.retain(|id, backend| list.get(id).is_some() || backend.load.in_flight > 0);
        inner.by_service.clear();
        inner.caches.retain(|id| list.get(id).is_some());
        for listed in list.iter() {
            let entry = inner.backends.entry(listed.id.clone());
            entry.or_insert_with(|| Backend::new(listed.clone())).listed = listed.clone();
            inner.by_service.entry(listed.service.clone()).or_default().push(listed.id.clone());
        }
    }

    /// Whether the table has a backend, draining or not.
    #[must_use]
    pub fn is_listed(&self, id: &EngineId) -> bool {
        self.lock().backends.contains_key(id)
    }

    /// Selects a backend and counts the request as in flight there.
    pub fn pick(
        self: &Arc<Self>,
        criteria: &SelectionCriteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<Reservation> {
        let now = Instant::now();
        let mut inner = self.lock();
        let id = inner.select(criteria, now, rng)?;
        if let RequestKind::Prompt(parts) = criteria.kind {
            inner.record_prompt(criteria.service, &id, parts);
        }
        let backend = inner.backends.get_mut(&id)?;
        backend.load.in_flight += 1;
        let listed = &backend.listed;
        let picked = PickedBackend {
            id,
            address: listed.address,
            service: listed.service.clone(),
            version: listed.version.clone(),
        };
        drop(inner);
        let outcome = Outcome::Unknown;
        Some(Reservation { table: self.clone(), picked, outcome, since: now, has_responded: false })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn select(
        &self,
        criteria: &SelectionCriteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<EngineId> {
        let usable = self.usable(criteria);
        let eligible = eligible(&usable, criteria, now);
        let chosen = match criteria.kind {
            RequestKind::Call => {
                let candidates: Vec<_> = eligible.iter().map(|b| b.candidate(0, now)).collect();
                let own = choice::own_subset(&candidates, &self.own_name);
                choice::better_of_two(&own, rng)
                    .or_else(|| choice::better_of_two(&candidates, rng))
                    .copied()
            }
            RequestKind::Prompt(parts) => {
                let in_segment = self.segment_engines(criteria.service, &usable, parts);
                let missing = |backend: &Backend| {
                    let id = &backend.listed.id;
                    self.caches.missing_tokens(id, parts, in_segment.contains(&id))
                };
                let candidates: Vec<_> =
                    eligible.iter().map(|b| b.candidate(missing(b), now)).collect();
                choice::best_for_prompt(&candidates, rng).copied()
            }
        };
        chosen.map(|candidate| candidate.id.clone())
    }

    /// Backends of the service and the allowed versions that accept new requests.
    fn usable(&self, criteria: &SelectionCriteria<'_>) -> Vec<&Backend> {
        let ids = self.by_service.get(criteria.service).into_iter().flatten();
        let mut usable: Vec<&Backend> = ids
            .filter_map(|id| self.backends.get(id))
            .filter(|b| !b.listed.draining && !b.stale)
            .filter(|b| criteria.versions.allows(&b.listed.version))
            .collect();
        // A model engine without cached prompts would be overloaded by the share that it will have later.
        let is_call = matches!(criteria.kind, RequestKind::Call);
        let count = criteria.versions.max_backends(usable.len());
        if is_call && count < usable.len() {
            // All gateways must select the same ones, so that these get the load of all.
            usable.sort_by_cached_key(|backend| choice::position(&backend.listed.id));
            usable.truncate(count);
        }
        usable
    }

    /// Engines within the ring segment of the prompt's first part.
    fn segment_engines<'a>(
        &self,
        service: &ServiceName,
        usable: &[&'a Backend],
        parts: &[PromptPart],
    ) -> Vec<&'a EngineId> {
        let ring = self.rings.get(service);
        let segment = ring.zip(parts.first()).and_then(|(ring, first)| ring.segment(&first.id));
        let Some(segment) = segment else { return Vec::new() };
        let ordered = in_ring_order(usable.iter().map(|backend| &backend.listed.id));
        let engines = ordered.len();
        let own =
            ordered.into_iter().enumerate().filter(|(index, _)| segment.overlaps(*index, engines));
        own.map(|(_, engine)| engine).collect()
    }

    fn record_prompt(&mut self, service: &ServiceName, engine: &EngineId, parts: &[PromptPart]) {
        self.caches.record(engine, parts);
        if let Some(first) = parts.first() {
            self.rings.entry(service.clone()).or_default().record(&first.id);
        }
    }
}

/// Filters the backends that may receive the next attempt: not tried yet, not at capacity and not
/// ejected. Ejections are ignored if they would leave no backend or exceed [`MAX_EJECTED_SHARE`].
fn eligible<'a>(
    usable: &[&'a Backend],
    criteria: &SelectionCriteria<'_>,
    now: Instant,
) -> Vec<&'a Backend> {
    let may_receive = |b: &&Backend| !criteria.tried.contains(&b.listed.id) && b.has_capacity(now);
    let available: Vec<&Backend> = usable.iter().copied().filter(may_receive).collect();
    let healthy: Vec<&Backend> = available.iter().copied().filter(|b| !b.is_ejected(now)).collect();
    let ejected = usable.iter().filter(|b| b.is_ejected(now)).count();
    let too_many = ejected as f64 > MAX_EJECTED_SHARE * usable.len() as f64;
    if healthy.is_empty() || too_many { available } else { healthy }
}

/// Counts a request as in flight at a backend; dropping it records the outcome of the request.
#[derive(Debug)]
pub struct Reservation {
    table: Arc<BackendTable>,
    /// The selected backend.
    pub picked: PickedBackend,
    outcome: Outcome,
    since: Instant,
    /// Whether the head of the response has been received.
    has_responded: bool,
}

impl Reservation {
    /// Records that the head of the response has been received.
    pub fn mark_responded(&mut self) {
        self.has_responded = true;
    }

    /// Records the load that the backend reported.
    pub fn record_load(&self, report: LoadReport) {
        let mut inner = self.table.lock();
        if let Some(backend) = inner.backends.get_mut(&self.picked.id) {
            backend.load.record(report, Instant::now());
        }
    }

    /// Ends the reservation with the outcome of the request.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let unresponsive = !self.has_responded && self.since.elapsed() >= UNRESPONSIVE_TIME;
        if self.outcome == Outcome::Unknown && unresponsive {
            self.outcome = Outcome::NoResponse;
        }
        let mut inner = self.table.lock();
        if let Some(backend) = inner.backends.get_mut(&self.picked.id) {
            backend.load.in_flight = backend.load.in_flight.saturating_sub(1);
            backend.record(self.outcome, Instant::now());
        }
    }
}
