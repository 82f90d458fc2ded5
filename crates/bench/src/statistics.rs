//! Statistics of a run: throughput, latency percentiles and a timeline.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::oracle::evidence::{CallClaim, Evidence, Millis, TurnClaim, TurnRecord};

/// Percentiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Microseconds in a millisecond; histograms count microseconds.
const MICROS: f64 = 1_000.0;
/// Longest time that a histogram records, in microseconds: ten minutes. Longer ones saturate.
const LONGEST_MICROS: u64 = 600_000_000;

impl Percentiles {
    /// Computes the percentiles of durations in milliseconds.
    #[must_use]
    pub fn of(times: impl IntoIterator<Item = f64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, 3) else {
            return Self::default();
        };
        for time in times {
            histogram.saturating_record(((time * MICROS) as u64).max(1));
        }
        let at = |share| histogram.value_at_quantile(share) as f64 / MICROS;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROS,
        }
    }
}

/// Throughput, outcome counts and latencies of a span of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RunStatistics {
    /// Length of the measured span, in seconds.
    pub seconds: f64,
    /// Turns finished per second.
    pub turns_per_second: f64,
    /// Tokens of finished turns per second.
    pub tokens_per_second: f64,
    /// Calls answered per second.
    pub calls_per_second: f64,
    /// Number of turns by outcome.
    pub turns: BTreeMap<String, u64>,
    /// Number of calls by their first outcome.
    pub calls: BTreeMap<String, u64>,
    /// Streams that were interrupted and resumed.
    pub cuts: u64,
    /// Time to the first token.
    pub first_token_ms: Percentiles,
    /// Time between tokens.
    pub between_tokens_ms: Percentiles,
    /// Response time of answered calls.
    pub call_ms: Percentiles,
    /// Time from the end of a fault until all gateways served again.
    pub recovery_ms: Percentiles,
}

impl RunStatistics {
    /// Computes the statistics of a span of a run.
    #[must_use]
    pub fn of(evidence: &Evidence, from: Millis, to: Millis) -> Self {
        let within = |at: Millis| (from..to).contains(&at);
        let turns = || evidence.turns.iter().filter(|turn| within(turn.ended_at));
        let calls = || evidence.calls.iter().filter(|call| within(call.ended_at));
        let seconds = (to.saturating_sub(from) as f64 / 1e3).max(1e-3);
        let finished = || turns().filter(|t| t.claim == TurnClaim::Ended("finished".to_owned()));
        let tokens: u64 =
            finished().flat_map(|t| &t.events).filter_map(|e| e.data["count"].as_u64()).sum();
        let is_answered = |claim: &CallClaim| matches!(claim, CallClaim::Answered { .. });
        let answered = || calls().filter(move |call| call.claims.first().is_some_and(is_answered));
        let recoveries = evidence.recoveries.iter();
        Self {
            seconds,
            turns_per_second: finished().count() as f64 / seconds,
            tokens_per_second: tokens as f64 / seconds,
            calls_per_second: answered().count() as f64 / seconds,
            turns: count_labels(turns().map(turn_outcome)),
            calls: count_labels(calls().filter_map(|call| call.claims.first()).map(call_outcome)),
            cuts: turns().map(|turn| u64::from(turn.cuts)).sum(),
            first_token_ms: Percentiles::of(turns().filter_map(|turn| turn.first_token_ms)),
            between_tokens_ms: Percentiles::of(turns().flat_map(|turn| turn.gaps_ms.clone())),
            call_ms: Percentiles::of(
                answered().map(|c| c.ended_at.saturating_sub(c.sent_at) as f64),
            ),
            recovery_ms: Percentiles::of(
                recoveries
                    .filter_map(|r| Some(r.served_at?.saturating_sub(r.fault_ended_at) as f64)),
            ),
        }
    }
}

fn turn_outcome(turn: &TurnRecord) -> String {
    let code = turn.events.last().and_then(|event| event.data["code"].as_str());
    match (&turn.claim, code) {
        (TurnClaim::Ended(end), Some(code)) => format!("{end}: {code}"),
        (claim, _) => turn_claim_label(claim),
    }
}

fn turn_claim_label(claim: &TurnClaim) -> String {
    match claim {
        TurnClaim::Ended(end) => end.clone(),
        TurnClaim::Refused(code) => format!("refused: {code}"),
        TurnClaim::Inconclusive(_) => "given up".to_owned(),
    }
}

fn call_outcome(claim: &CallClaim) -> String {
    match claim {
        CallClaim::Answered { .. } => "answered".to_owned(),
        CallClaim::NotRun(code) => format!("not run: {code}"),
        CallClaim::Unknown => "unknown".to_owned(),
        CallClaim::Inconclusive(code)
            if code.chars().all(|c| c.is_ascii_lowercase() || c == '_') =>
        {
            format!("given up: {code}")
        }
        CallClaim::Inconclusive(_) => "given up".to_owned(),
    }
}

fn count_labels(labels: impl Iterator<Item = String>) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for label in labels {
        *counts.entry(label).or_insert(0) += 1;
    }
    counts
}

/// Throughput in each second of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// Start of the first second, in milliseconds since 1970.
    pub from: Millis,
    /// Turns finished in each second.
    pub turns: Vec<f64>,
    /// Calls answered in each second.
    pub calls: Vec<f64>,
    /// Tokens of the turns that ended in each second.
    pub tokens: Vec<f64>,
}

impl Timeline {
    /// Computes the timeline of a span of a run.
    #[must_use]
    pub fn of(evidence: &Evidence, from: Millis, to: Millis) -> Self {
        let seconds = usize::try_from(to.saturating_sub(from) / 1_000 + 1).unwrap_or(0);
        let mut timeline = Self {
            from,
            turns: vec![0.0; seconds],
            calls: vec![0.0; seconds],
            tokens: vec![0.0; seconds],
        };
        let second = |at: Millis| usize::try_from(at.checked_sub(from)? / 1_000).ok();
        for turn in &evidence.turns {
            let Some(index) = second(turn.ended_at).filter(|index| *index < seconds) else {
                continue;
            };
            let finished = turn.claim == TurnClaim::Ended("finished".to_owned());
            timeline.turns[index] += f64::from(u8::from(finished));
            let tokens = turn.events.iter().filter_map(|e| e.data["count"].as_u64()).sum::<u64>();
            timeline.tokens[index] += tokens as f64;
        }
        for call in &evidence.calls {
            let Some(index) = second(call.ended_at).filter(|index| *index < seconds) else {
                continue;
            };
            let answered = matches!(call.claims.first(), Some(CallClaim::Answered { .. }));
            timeline.calls[index] += f64::from(u8::from(answered));
        }
        timeline
    }
}
