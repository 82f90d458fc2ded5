//! Chooses a back end for one request. Pure: candidates with their loads in, one of them out.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use hooklug_types::{EngineId, ZoneName};

/// Share of an engine's slots up to which the engine that is chosen by prefix takes requests (ours): beyond it each
/// token comes slower, and the next engine in the prefix's order is better.
const PREFIX_LOAD_LIMIT: f64 = 0.6;

/// Share of an engine's slots up to which a session stays where its prompt is cached (ours).
const STAY_LOAD_LIMIT: f64 = 0.85;

/// What is known of one back end.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a EngineId,
    /// Its zone.
    pub zone: &'a ZoneName,
    /// Requests there, as a share of its slots.
    pub load: f64,
    /// Average time of its answers in milliseconds; 0 while unknown.
    pub latency_ms: f64,
}

/// The better of two random ones by expected wait.
pub fn of_two<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let mut pair = candidates.sample(rng, 2);
    let (first, second) = (pair.next()?, pair.next());
    let Some(second) = second else { return Some(first) };
    Some(if expected_wait(second) < expected_wait(first) { second } else { first })
}

/// Expected time until an answer, in relative terms. One that is full makes requests wait a whole turn.
fn expected_wait(candidate: &Candidate<'_>) -> f64 {
    let queue = if candidate.load >= 1.0 { 1.0 + candidate.load } else { 0.3 * candidate.load };
    candidate.latency_ms.max(1.0) * (1.0 + queue)
}

/// The engine that is likeliest to hold a prompt's shared parts: the one where the session was last, while it has
/// room; else the first with room in the order that the prefix gives all engines.
pub fn by_prefix<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    prefix: &str,
    last: Option<&EngineId>,
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let stays = |c: &&Candidate<'_>| Some(c.id) == last && c.load < STAY_LOAD_LIMIT;
    if let Some(stays) = candidates.iter().find(stays) {
        return Some(stays);
    }
    let with_room = candidates.iter().filter(|c| c.load < PREFIX_LOAD_LIMIT);
    let first = with_room.max_by_key(|c| rendezvous_weight(prefix, c.id));
    first.or_else(|| least_loaded(candidates, rng))
}

fn least_loaded<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let offset = rng.random_range(0..candidates.len().max(1));
    let rotated = candidates.iter().cycle().skip(offset).take(candidates.len());
    rotated.min_by(|one, other| one.load.total_cmp(&other.load))
}

/// Weight of an engine for a prefix; the same at all gateways, and unmoved by engines that come or go.
fn rendezvous_weight(prefix: &str, engine: &EngineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    engine.hash(&mut hasher);
    hasher.finish()
}
