//! Chooses a back end for one request. Pure: candidates with their loads in, one of them out.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::Rng;
use rand::seq::IndexedRandom;

use hooklug_types::{EngineId, ZoneName};

/// Work of one request at an engine, in tokens to read (ours): what a request already there delays a new one by,
/// mostly by the reading of its own prompt.
const TOKENS_OF_REQUEST: f64 = 300.0;

/// What each further place in a prefix's order of engines counts, in tokens (ours): gateways that know nothing of each
/// other's requests then send the same prefix to the same engines.
const TOKENS_OF_PLACE: f64 = 120.0;

/// What is known of one back end.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a EngineId,
    /// Its zone.
    pub zone: &'a ZoneName,
    /// Requests there.
    pub requests: f64,
    /// Requests there, as a share of its slots.
    pub load: f64,
    /// Average time of its answers in milliseconds; 0 while unknown.
    pub latency_ms: f64,
    /// Tokens of the prompt that it has to read, for prompts.
    pub missing_tokens: u32,
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

/// The engine that is likely to be done first with a prompt: few tokens to read, few requests before it. Among equals
/// the order decides that the prompt's first part gives all engines.
#[must_use]
pub fn by_prompt<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    prefix: &str,
) -> Option<&'b Candidate<'a>> {
    let mut ordered: Vec<&Candidate<'a>> = candidates.iter().collect();
    ordered.sort_by_cached_key(|c| std::cmp::Reverse(rendezvous_weight(prefix, c.id)));
    let costs = ordered.into_iter().enumerate().map(|(place, candidate)| {
        let reading = f64::from(candidate.missing_tokens);
        let waiting = TOKENS_OF_REQUEST * candidate.requests;
        let full = if candidate.load >= 1.0 { f64::from(u32::MAX) } else { 0.0 };
        (candidate, reading + waiting + full + TOKENS_OF_PLACE * place as f64)
    });
    costs.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(candidate, _)| candidate)
}

/// Weight of an engine for a prefix; the same at all gateways, and unmoved by engines that come or go.
fn rendezvous_weight(prefix: &str, engine: &EngineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    engine.hash(&mut hasher);
    hasher.finish()
}
