//! Generates rounds of faults from a seed, within the limits under which the promises must hold.
//!
//! At most one store loses its disk in a round, without any other store fault in that round, and
//! only after all groups are fully replicated again: each group has three replicas, and a majority
//! of them must not lose their data. Any number of stores that keep their disks may fail. At least
//! one session-host engine and one gateway stay up in each round, so that requests can be served.
//! No process is the target of two faults of a round.

use std::collections::BTreeSet;

use hooklug_emulator::FaultKind;
use hooklug_fleet::{Fleet, ProcessKind, ProcessName};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use super::fault::{BackendFault, Fault};

/// Maximum number of concurrent faults in a round.
const MOST_AT_ONCE: usize = 3;

/// The processes that faults can be applied to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape {
    /// All processes of the fleet.
    pub names: Vec<ProcessName>,
}

/// The faults of one round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draw {
    /// Faults that are active at the same time.
    pub faults: Vec<Fault>,
    /// Whether unresponsive nodes stay so for longer than any lease.
    pub long: bool,
    /// Whether the same faults are repeated as soon as service has recovered.
    pub twice: bool,
}

impl Shape {
    /// Lists the processes of a fleet.
    #[must_use]
    pub fn of(fleet: &Fleet) -> Self {
        Self { names: fleet.all_names() }
    }

    fn all(&self, kind: ProcessKind) -> Vec<ProcessName> {
        self.names.iter().filter(|name| name.kind == kind).copied().collect()
    }

    /// Picks one process of a kind, but never the last, so that one of the kind stays up.
    fn one<R: Rng>(&self, kind: ProcessKind, random: &mut R) -> Option<ProcessName> {
        let all = self.all(kind);
        let spared = all.len().min(1);
        all[..all.len() - spared].choose(random).copied()
    }
}

/// Generates a round.
pub fn draw_round<R: Rng>(shape: &Shape, random: &mut R) -> Draw {
    let wanted = random.random_range(1..=MOST_AT_ONCE);
    let mut faults: Vec<Fault> = Vec::new();
    let mut hit: BTreeSet<ProcessName> = BTreeSet::new();
    // A fault that the limits forbid is replaced by another draw, a bounded number of times.
    for _ in 0..wanted * 4 {
        if faults.len() == wanted {
            break;
        }
        let Some(fault) = draw_fault(shape, random) else { continue };
        if allowed(&fault, &faults) && fault.hit().iter().all(|name| !hit.contains(name)) {
            hit.extend(fault.hit());
            faults.push(fault);
        }
    }
    Draw { faults, long: random.random_bool(0.3), twice: random.random_bool(0.3) }
}

fn allowed(fault: &Fault, others: &[Fault]) -> bool {
    let rolling = |fault: &Fault| matches!(fault, Fault::RollingRestart(_));
    let kind = std::mem::discriminant(fault);
    let stores_clash = others.iter().any(|other| {
        let both = fault.hits_stores() && other.hits_stores();
        both && (fault.loses_disk() || other.loses_disk())
    });
    // A rolling restart waits for readiness, which other faults of the round would prevent.
    let rolling_clash = !others.is_empty() && rolling(fault) || others.iter().any(rolling);
    let same = others.iter().any(|other| std::mem::discriminant(other) == kind);
    !stores_clash && !rolling_clash && !same
}

fn draw_fault<R: Rng>(shape: &Shape, random: &mut R) -> Option<Fault> {
    use ProcessKind::{App, Core, Engine, Gateway, Model, Store};
    let node = [Store, Core, Engine, Gateway].choose(random).copied()?;
    Some(match random.random_range(0..18) {
        0..=2 => Fault::Kill(vec![shape.one(node, random)?]),
        3 => Fault::Kill(shape.all(Core)),
        4 => Fault::Kill(draw_many(shape, random)),
        5..=6 => Fault::Freeze(shape.one(node, random)?),
        7..=8 => Fault::CutOff(shape.one(node, random)?),
        9 => Fault::CutOneWay(shape.one(node, random)?, shape.one(Store, random)?),
        10 => Fault::Replace(shape.one([Store, Core, Gateway].choose(random).copied()?, random)?),
        11 => Fault::LoseDisk(shape.one(Store, random)?),
        12 => Fault::Drain(shape.one([Engine, App].choose(random).copied()?, random)?),
        13 => Fault::RollingRestart(node),
        14 => Fault::Backend(
            shape.one([Model, App].choose(random).copied()?, random)?,
            backend(random),
        ),
        15 => Fault::RestartBackend(shape.one([Model, App].choose(random).copied()?, random)?),
        16 => Fault::KillInTurn(all_but_one(shape.all(Engine))),
        _ => Fault::HarmfulRelease,
    })
}

/// Drops the last process, so that one stays up.
fn all_but_one(mut names: Vec<ProcessName>) -> Vec<ProcessName> {
    names.pop();
    names
}

/// Picks several processes: all stores, or one store, core, engine and gateway.
fn draw_many<R: Rng>(shape: &Shape, random: &mut R) -> Vec<ProcessName> {
    use ProcessKind::{Core, Engine, Gateway, Store};
    if random.random_bool(0.5) {
        return shape.all(Store);
    }
    let kinds = [Store, Core, Engine, Gateway];
    kinds.into_iter().filter_map(|kind| shape.one(kind, random)).collect()
}

fn backend<R: Rng>(random: &mut R) -> BackendFault {
    const KINDS: [FaultKind; 8] = [
        FaultKind::LoseAnswer,
        FaultKind::CutShort,
        FaultKind::Cross,
        FaultKind::Garble,
        FaultKind::Stall,
        FaultKind::Slow,
        FaultKind::Fail,
        FaultKind::Refuse,
    ];
    let kind = KINDS[random.random_range(0..KINDS.len())];
    BackendFault { kind, percent: random.random_range(20..=100) }
}
