//! Chooses a back end for one request. Pure: candidates with their loads in, one of them out.

use std::hash::{DefaultHasher, Hash, Hasher};

use hooklug_types::EngineId;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

/// Work of one request at an engine, in tokens to read (ours): what a request already there delays a new one by,
/// mostly by the reading of its own prompt.
const TOKENS_OF_REQUEST: f64 = 300.0;

/// What an engine that always fails counts more than a sound one, in tokens (ours): a failed turn is asked again as a
/// whole.
const TOKENS_OF_FAILURES: f64 = 20_000.0;

/// How many times as long a call seems to take at a back end that always fails (ours).
const FAILURE_FACTOR: f64 = 20.0;

/// Longest random addition to an engine's cost, in tokens (ours), so that gateways that know the same do not all choose
/// the same.
const TOKENS_OF_CHANCE: f64 = 100.0;

/// What is known of one back end.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a EngineId,
    /// Requests there.
    pub requests: f64,
    /// Requests there, as a share of its slots.
    pub load: f64,
    /// Average time of its answers in milliseconds; 0 while unknown.
    pub latency_ms: f64,
    /// Share of its last answers that were failures, or did not come.
    pub failure_share: f64,
    /// Tokens of the prompt that it has to read, for prompts.
    pub missing_tokens: u32,
}

/// Back ends that one gateway prefers for calls (ours): its connections to few are used again before they are closed
/// for their rest, and each back end still has the gateways it needs.
const SUBSET: usize = 12;

/// The part of the back ends that a gateway prefers, those without a free place left out.
#[must_use]
pub fn own_subset<'a>(candidates: &[Candidate<'a>], gateway: &str) -> Vec<Candidate<'a>> {
    let mut ordered: Vec<Candidate<'a>> = candidates.to_vec();
    if ordered.len() > SUBSET {
        ordered.sort_by_cached_key(|c| std::cmp::Reverse(rendezvous_weight(gateway, c.id)));
        ordered.truncate(SUBSET);
    }
    ordered.retain(|candidate| candidate.load < 1.0);
    ordered
}

/// Weight of a back end for a gateway; unmoved by others that come or go.
fn rendezvous_weight(gateway: &str, backend: &EngineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    gateway.hash(&mut hasher);
    backend.hash(&mut hasher);
    hasher.finish()
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
    let failures = FAILURE_FACTOR * candidate.failure_share;
    candidate.latency_ms.max(1.0) * (1.0 + queue) * (1.0 + failures)
}

/// The engine that is likely to be done first with a prompt: few tokens to read, few requests before it.
#[must_use]
pub fn by_prompt<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let costs = candidates.iter().map(|candidate| {
        let reading = f64::from(candidate.missing_tokens);
        let waiting = TOKENS_OF_REQUEST * candidate.requests;
        let full = if candidate.load >= 1.0 { f64::from(u32::MAX) } else { 0.0 };
        let failures = TOKENS_OF_FAILURES * candidate.failure_share;
        let chance = rng.random_range(0.0..TOKENS_OF_CHANCE);
        (candidate, reading + waiting + failures + full + chance)
    });
    costs.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(candidate, _)| candidate)
}
