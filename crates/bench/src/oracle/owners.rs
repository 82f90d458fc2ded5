//! One owner a session and epoch; two engines never make tokens that both count.

use std::collections::BTreeMap;

use hooklug_emulator::LedgerEntry;

use super::evidence::{Evidence, OwnerSeen};
use super::{Promise, Verdict};

pub(super) fn check(evidence: &Evidence, verdict: &mut Verdict) {
    check_generations(evidence, verdict);
    for (name, session) in &evidence.sessions {
        verdict.examined("owners seen", session.owners.len());
        let mut by_epoch: BTreeMap<u64, &OwnerSeen> = BTreeMap::new();
        for seen in &session.owners {
            let first = *by_epoch.entry(seen.epoch).or_insert(seen);
            if first.owner != seen.owner {
                let detail = format!("epoch {}: {} and {}", seen.epoch, first.owner, seen.owner);
                verdict.add(Promise::SingleOwner, name, detail);
            }
        }
    }
}

/// A turn is generated beside one owner only: whoever takes a session over ends its open turn.
fn check_generations(evidence: &Evidence, verdict: &mut Verdict) {
    let mut servers: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for line in &evidence.models {
        let LedgerEntry::GenerationBegan { session, turn, .. } = &line.entry else { continue };
        verdict.examined("generations", 1);
        let engine = line.identity.split('/').nth(1).unwrap_or_default();
        let first = *servers.entry((session, turn)).or_insert(engine);
        if first != engine {
            let detail = format!("generated beside {first} and beside {engine}");
            verdict.add(Promise::SingleOwner, format!("{session}/{turn}"), detail);
        }
    }
}
