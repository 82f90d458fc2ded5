//! Selection of a backend among candidates by load, latency and failures. No I/O.

use std::hash::{DefaultHasher, Hash, Hasher};

use hooklug_types::EngineId;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

/// Cost of one request already at an engine, in prompt tokens: how much it delays a new request,
/// mostly because its own prompt is read.
const REQUEST_COST_TOKENS: f64 = 300.0;

/// Cost, in prompt tokens, of an engine that fails all its requests. It is high because a failed
/// turn is repeated from the start.
const FAILURE_COST_TOKENS: f64 = 20_000.0;

/// Increase of the expected wait of a call, as a multiple, at a backend that fails all its requests.
const FAILURE_WAIT_FACTOR: f64 = 20.0;

/// Largest random addition to an engine's cost, in prompt tokens, so that gateways with the same
/// information do not all select the same engine.
const MAX_JITTER_TOKENS: f64 = 100.0;

/// A backend that may be selected, with what is known of its load and health.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Engine id of the backend.
    pub id: &'a EngineId,
    /// Estimated number of requests at the backend.
    pub requests: f64,
    /// Estimated number of requests divided by the number of slots.
    pub load: f64,
    /// Average latency in milliseconds; 0 while unknown.
    pub latency_ms: f64,
    /// Moving average of failed and lost responses, from 0 to 1.
    pub failure_share: f64,
    /// Tokens of the prompt that the engine does not have cached.
    pub missing_tokens: u32,
}

/// Number of backends that one gateway prefers for calls. With few backends its connections are
/// reused before they are closed as idle, and each backend is still preferred by enough gateways.
const SUBSET_SIZE: usize = 12;

/// The subset of backends that a gateway prefers, without those that have no free slot.
#[must_use]
pub fn own_subset<'a>(candidates: &[Candidate<'a>], gateway: &str) -> Vec<Candidate<'a>> {
    let mut ordered: Vec<Candidate<'a>> = candidates.to_vec();
    if ordered.len() > SUBSET_SIZE {
        ordered.sort_by_cached_key(|c| std::cmp::Reverse(rendezvous_weight(gateway, c.id)));
        ordered.truncate(SUBSET_SIZE);
    }
    ordered.retain(|candidate| candidate.load < 1.0);
    ordered
}

/// Position of a backend in an order that all gateways share; independent of which other backends
/// exist.
#[must_use]
pub fn position(backend: &EngineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    backend.hash(&mut hasher);
    hasher.finish()
}

/// Rendezvous hash of a backend for a gateway; independent of which other backends exist.
fn rendezvous_weight(gateway: &str, backend: &EngineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    gateway.hash(&mut hasher);
    backend.hash(&mut hasher);
    hasher.finish()
}

/// Selects the candidate with the shorter expected wait out of two random ones.
pub fn better_of_two<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let mut pair = candidates.sample(rng, 2);
    let (first, second) = (pair.next()?, pair.next());
    let Some(second) = second else { return Some(first) };
    Some(if expected_wait(second) < expected_wait(first) { second } else { first })
}

/// Relative expected time until a response. At a full backend a request first waits for another one
/// to finish.
fn expected_wait(candidate: &Candidate<'_>) -> f64 {
    let queue = if candidate.load >= 1.0 { 1.0 + candidate.load } else { 0.3 * candidate.load };
    let failures = FAILURE_WAIT_FACTOR * candidate.failure_share;
    candidate.latency_ms.max(1.0) * (1.0 + queue) * (1.0 + failures)
}

/// Selects the engine that is likely to finish a prompt first: few uncached tokens and few requests
/// ahead of it.
#[must_use]
pub fn best_for_prompt<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let costs = candidates.iter().map(|candidate| {
        let reading = f64::from(candidate.missing_tokens);
        let waiting = REQUEST_COST_TOKENS * candidate.requests;
        let full = if candidate.load >= 1.0 { f64::from(u32::MAX) } else { 0.0 };
        let failures = FAILURE_COST_TOKENS * candidate.failure_share;
        let jitter = rng.random_range(0.0..MAX_JITTER_TOKENS);
        (candidate, reading + waiting + failures + full + jitter)
    });
    costs.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(candidate, _)| candidate)
}
