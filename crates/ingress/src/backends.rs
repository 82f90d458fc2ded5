//! The back ends as this gateway knows them: the platform's list joined with what came of its own requests.

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

/// First pause after a failure in which a back end is passed over (ours); it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest such pause (ours).
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Pause after a back end said that it has no room (ours).
const NO_ROOM_PAUSE: Duration = Duration::from_millis(30);

/// Most of a service's back ends that may be passed over for failures (ours): beyond it the fault is likelier to be
/// here or on the way.
const MOST_PASSED_OVER: f64 = 0.5;

/// Weight of the newest answer in the average time and the share of failures (ours).
const NEWEST_WEIGHT: f64 = 0.1;

/// Silence of a back end after which a caller's leaving counts against it (ours): its requests may all end so.
const LONG_SILENCE: Duration = Duration::from_millis(1_500);

/// How one request at a back end ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered well, after so long.
    Answered(Duration),
    /// It was answered with a failure of the back end's own.
    Failed,
    /// The back end had no room.
    NoRoom,
    /// Another back end answers at the address.
    Stale,
    /// No connection could be had, or the answer was lost.
    Broken,
    /// Its caller left, or its time was over; this says nothing of the back end.
    Unknown,
}

#[derive(Debug)]
struct Backend {
    listed: Arc<ListedBackend>,
    load: LoadEstimate,
    latency_ms: f64,
    /// Share of its last answers that were failures, or did not come.
    failure_share: f64,
    failures: u32,
    passed_over_until: Option<Instant>,
    no_room_until: Option<Instant>,
    /// Another back end answered at its address.
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
            passed_over_until: None,
            no_room_until: None,
            stale: false,
        }
    }

    fn is_passed_over(&self, now: Instant) -> bool {
        self.passed_over_until.is_some_and(|until| now < until)
    }

    fn has_room(&self, now: Instant) -> bool {
        self.no_room_until.is_none_or(|until| now >= until)
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

    fn note(&mut self, outcome: Outcome, now: Instant) {
        let failed = match outcome {
            Outcome::Answered(_) => Some(0.0),
            Outcome::Failed | Outcome::Broken => Some(1.0),
            Outcome::NoRoom | Outcome::Stale | Outcome::Unknown => None,
        };
        if let Some(failed) = failed {
            self.failure_share += NEWEST_WEIGHT * (failed - self.failure_share);
        }
        match outcome {
            Outcome::Answered(time) => {
                let time_ms = time.as_secs_f64() * 1_000.0;
                let known = if self.latency_ms > 0.0 { self.latency_ms } else { time_ms };
                self.latency_ms = known + NEWEST_WEIGHT * (time_ms - known);
                (self.failures, self.passed_over_until) = (0, None);
            }
            Outcome::NoRoom => self.no_room_until = Some(now + NO_ROOM_PAUSE),
            Outcome::Stale => self.stale = true,
            Outcome::Failed | Outcome::Broken => {
                let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8));
                self.passed_over_until = Some(now + pause.min(LONGEST_PAUSE));
                self.failures += 1;
            }
            Outcome::Unknown => {}
        }
    }
}

/// What a back end is wanted for.
#[derive(Debug, Clone, Copy)]
pub enum Purpose<'a> {
    /// A call: any will do.
    Call,
    /// A prompt of these parts: one that holds them is better.
    Prompt(&'a [PromptPart]),
}

/// Which back end is wanted.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Versions that may take the request.
    pub versions: &'a AllowedVersions,
    /// Those that have been tried already.
    pub tried: &'a [EngineId],
    /// What it is wanted for.
    pub purpose: Purpose<'a>,
}

/// A chosen back end.
#[derive(Debug, Clone)]
pub struct Picked {
    /// Its id.
    pub id: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// Its version.
    pub version: ServiceVersion,
}

/// All back ends that this gateway knows.
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
    /// This gateway's name, by which it has its own part of the back ends that serve calls.
    own_name: String,
}

impl BackendTable {
    /// No back ends yet; the name tells this gateway from others.
    #[must_use]
    pub fn new(own_name: String) -> Self {
        Self { inner: Mutex::new(Inner { own_name, ..Inner::default() }) }
    }

    /// Follows the platform's list. What is known of back ends that stay is kept.
    pub fn follow(&self, list: &BackendList) {
        let mut inner = self.lock();
        inner.backends.retain(|id, backend| list.get(id).is_some() || backend.load.in_flight > 0);
        inner.by_service.clear();
        inner.caches.retain(|id| list.get(id).is_some());
        for listed in list.iter() {
            let known = inner.backends.entry(listed.id.clone());
            known.or_insert_with(|| Backend::new(listed.clone())).listed = listed.clone();
            inner.by_service.entry(listed.service.clone()).or_default().push(listed.id.clone());
        }
    }

    /// Whether the list names a back end, draining or not.
    #[must_use]
    pub fn is_listed(&self, id: &EngineId) -> bool {
        self.lock().backends.contains_key(id)
    }

    /// Chooses a back end and counts the request there.
    pub fn pick(self: &Arc<Self>, wanted: &Wanted<'_>, rng: &mut impl Rng) -> Option<Reserved> {
        let now = Instant::now();
        let mut inner = self.lock();
        let id = inner.choose(wanted, now, rng)?;
        if let Purpose::Prompt(parts) = wanted.purpose {
            inner.note_prompt(wanted.service, &id, parts);
        }
        let backend = inner.backends.get_mut(&id)?;
        backend.load.in_flight += 1;
        let listed = &backend.listed;
        let picked = Picked {
            id,
            address: listed.address,
            service: listed.service.clone(),
            version: listed.version.clone(),
        };
        drop(inner);
        let outcome = Outcome::Unknown;
        Some(Reserved { table: self.clone(), picked, outcome, since: now, answers: false })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn choose(&self, wanted: &Wanted<'_>, now: Instant, rng: &mut impl Rng) -> Option<EngineId> {
        let usable = self.usable(wanted);
        let eligible = eligible(&usable, wanted, now);
        let chosen = match wanted.purpose {
            Purpose::Call => {
                let candidates: Vec<_> = eligible.iter().map(|b| b.candidate(0, now)).collect();
                let own = choice::own_subset(&candidates, &self.own_name);
                choice::of_two(&own, rng).or_else(|| choice::of_two(&candidates, rng)).copied()
            }
            Purpose::Prompt(parts) => {
                let own = self.own_engines(wanted.service, &usable, parts);
                let missing = |backend: &Backend| {
                    let id = &backend.listed.id;
                    self.caches.missing_tokens(id, parts, own.contains(&id))
                };
                let candidates: Vec<_> =
                    eligible.iter().map(|b| b.candidate(missing(b), now)).collect();
                choice::by_prompt(&candidates, rng).copied()
            }
        };
        chosen.map(|candidate| candidate.id.clone())
    }

    /// Back ends of the service and versions that take new work.
    fn usable(&self, wanted: &Wanted<'_>) -> Vec<&Backend> {
        let ids = self.by_service.get(wanted.service).into_iter().flatten();
        ids.filter_map(|id| self.backends.get(id))
            .filter(|b| !b.listed.draining && !b.stale)
            .filter(|b| wanted.versions.allows(&b.listed.version))
            .collect()
    }

    /// Engines that a prompt's first part has to itself.
    fn own_engines<'a>(
        &self,
        service: &ServiceName,
        usable: &[&'a Backend],
        parts: &[PromptPart],
    ) -> Vec<&'a EngineId> {
        let ring = self.rings.get(service);
        let part = ring.zip(parts.first()).and_then(|(ring, first)| ring.part(&first.id));
        let Some(part) = part else { return Vec::new() };
        let ordered = in_ring_order(usable.iter().map(|backend| &backend.listed.id));
        let engines = ordered.len();
        let own = ordered.into_iter().enumerate().filter(|(place, _)| part.holds(*place, engines));
        own.map(|(_, engine)| engine).collect()
    }

    fn note_prompt(&mut self, service: &ServiceName, engine: &EngineId, parts: &[PromptPart]) {
        self.caches.note(engine, parts);
        if let Some(first) = parts.first() {
            self.rings.entry(service.clone()).or_default().note(&first.id);
        }
    }
}

/// Those that may take one more try: not tried yet, with room, and not passed over for failures; without regard to
/// failures when they leave none, or when so many fail that the fault is likelier elsewhere.
fn eligible<'a>(usable: &[&'a Backend], wanted: &Wanted<'_>, now: Instant) -> Vec<&'a Backend> {
    let may_try = |b: &&Backend| !wanted.tried.contains(&b.listed.id) && b.has_room(now);
    let open: Vec<&Backend> = usable.iter().copied().filter(may_try).collect();
    let sound: Vec<&Backend> = open.iter().copied().filter(|b| !b.is_passed_over(now)).collect();
    let passed_over = usable.iter().filter(|b| b.is_passed_over(now)).count();
    let too_many = passed_over as f64 > MOST_PASSED_OVER * usable.len() as f64;
    if sound.is_empty() || too_many { open } else { sound }
}

/// A request's place at a back end; given up when dropped, with what came of the request.
#[derive(Debug)]
pub struct Reserved {
    table: Arc<BackendTable>,
    /// The back end.
    pub picked: Picked,
    outcome: Outcome,
    since: Instant,
    /// Whether the back end has begun to answer.
    answers: bool,
}

impl Reserved {
    /// Notes that the head of an answer has come.
    pub fn note_answer(&mut self) {
        self.answers = true;
    }

    /// Takes the back end's word on its load.
    pub fn note_load(&self, report: LoadReport) {
        let mut inner = self.table.lock();
        if let Some(backend) = inner.backends.get_mut(&self.picked.id) {
            backend.load.note(report, Instant::now());
        }
    }

    /// Notes how the request ended; the place is given up.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let silent = !self.answers && self.since.elapsed() >= LONG_SILENCE;
        if self.outcome == Outcome::Unknown && silent {
            self.outcome = Outcome::Broken;
        }
        let mut inner = self.table.lock();
        if let Some(backend) = inner.backends.get_mut(&self.picked.id) {
            backend.load.in_flight = backend.load.in_flight.saturating_sub(1);
            backend.note(self.outcome, Instant::now());
        }
    }
}
