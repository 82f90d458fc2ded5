//! Generates rounds of faults from a seed, within the limits under which the promises must hold.
//!
//! At most one store loses its disk in a round, without any other store fault in that round, and
//! only after all groups are fully replicated again: each group has three replicas, and a majority
//! of them must not lose their data. Any number of stores that keep their disks may fail. At least
//! one session-host engine and one gateway are left untouched in each round, so that requests can be
//! served. No process is the target of two faults of a round.

use std::collections::BTreeSet;

use hooklug_emulator::FaultKind;
use hooklug_fleet::{Fleet, ProcessKind, ProcessName};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use super::fault::{BackendFault, Fault};

/// Maximum number of concurrent faults in a round.
const MAX_CONCURRENT_FAULTS: usize = 3;

/// The processes that faults can be applied to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultTargets {
    /// All processes of the fleet.
    pub processes: Vec<ProcessName>,
}

/// The faults of one round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultRound {
    /// Faults that are active at the same time.
    pub faults: Vec<Fault>,
    /// Whether frozen and isolated nodes stay unresponsive for longer than any lease.
    pub long_outages: bool,
    /// Whether the same faults are repeated as soon as service has recovered.
    pub repeated: bool,
}

impl FaultTargets {
    /// Lists the processes of a fleet.
    #[must_use]
    pub fn of(fleet: &Fleet) -> Self {
        Self { processes: fleet.all_names() }
    }

    fn of_kind(&self, kind: ProcessKind) -> Vec<ProcessName> {
        self.processes.iter().filter(|name| name.kind == kind).copied().collect()
    }

    /// Picks one process of a kind, but never the last, so that one of the kind stays up.
    fn pick_one<R: Rng>(&self, kind: ProcessKind, random: &mut R) -> Option<ProcessName> {
        let candidates = self.of_kind(kind);
        let spared = candidates.len().min(1);
        candidates[..candidates.len() - spared].choose(random).copied()
    }
}

/// Generates a round.
pub fn generate_round<R: Rng>(fault_targets: &FaultTargets, random: &mut R) -> FaultRound {
    let count = random.random_range(1..=MAX_CONCURRENT_FAULTS);
    let mut faults: Vec<Fault> = Vec::new();
    let mut targets: BTreeSet<ProcessName> = BTreeSet::new();
    // A fault that the limits forbid is replaced by another draw, a bounded number of times.
    for _ in 0..count * 4 {
        if faults.len() == count {
            break;
        }
        let Some(fault) = pick_fault(fault_targets, random) else { continue };
        if is_allowed(&fault, &faults) && fault.targets().iter().all(|name| !targets.contains(name))
        {
            targets.extend(fault.targets());
            faults.push(fault);
        }
    }
    FaultRound { faults, long_outages: random.random_bool(0.3), repeated: random.random_bool(0.3) }
}

fn is_allowed(fault: &Fault, others: &[Fault]) -> bool {
    let rolling = |fault: &Fault| matches!(fault, Fault::RollingRestart(_));
    let kind = std::mem::discriminant(fault);
    let disk_loss_conflict = others.iter().any(|other| {
        let both_affect_stores = fault.affects_stores() && other.affects_stores();
        both_affect_stores && (fault.loses_disk() || other.loses_disk())
    });
    // A rolling restart waits for readiness, which other faults of the round would prevent.
    let rolling_restart_conflict =
        !others.is_empty() && rolling(fault) || others.iter().any(rolling);
    let same_kind = others.iter().any(|other| std::mem::discriminant(other) == kind);
    !disk_loss_conflict && !rolling_restart_conflict && !same_kind
}

fn pick_fault<R: Rng>(fault_targets: &FaultTargets, random: &mut R) -> Option<Fault> {
    use ProcessKind::{App, Core, Engine, Gateway, Model, Store};
    let node = [Store, Core, Engine, Gateway].choose(random).copied()?;
    Some(match random.random_range(0..18) {
        0..=2 => Fault::Kill(vec![fault_targets.pick_one(node, random)?]),
        3 => Fault::Kill(fault_targets.of_kind(Core)),
        4 => Fault::Kill(pick_several(fault_targets, random)),
        5..=6 => Fault::Freeze(fault_targets.pick_one(node, random)?),
        7..=8 => Fault::Isolate(fault_targets.pick_one(node, random)?),
        9 => Fault::DropOneWay(
            fault_targets.pick_one(node, random)?,
            fault_targets.pick_one(Store, random)?,
        ),
        10 => Fault::Replace(
            fault_targets.pick_one([Store, Core, Gateway].choose(random).copied()?, random)?,
        ),
        11 => Fault::LoseDisk(fault_targets.pick_one(Store, random)?),
        12 => Fault::Drain(fault_targets.pick_one([Engine, App].choose(random).copied()?, random)?),
        13 => Fault::RollingRestart(node),
        14 => Fault::Backend(
            fault_targets.pick_one([Model, App].choose(random).copied()?, random)?,
            pick_backend_fault(random),
        ),
        15 => Fault::RestartBackend(
            fault_targets.pick_one([Model, App].choose(random).copied()?, random)?,
        ),
        16 => Fault::KillSequentially(all_but_one(fault_targets.of_kind(Engine))),
        _ => Fault::HarmfulRelease,
    })
}

/// Drops the last process, so that one stays up.
fn all_but_one(mut processes: Vec<ProcessName>) -> Vec<ProcessName> {
    processes.pop();
    processes
}

/// Picks several processes: all stores, or one store, core, engine and gateway.
fn pick_several<R: Rng>(fault_targets: &FaultTargets, random: &mut R) -> Vec<ProcessName> {
    use ProcessKind::{Core, Engine, Gateway, Store};
    if random.random_bool(0.5) {
        return fault_targets.of_kind(Store);
    }
    let kinds = [Store, Core, Engine, Gateway];
    kinds.into_iter().filter_map(|kind| fault_targets.pick_one(kind, random)).collect()
}

fn pick_backend_fault<R: Rng>(random: &mut R) -> BackendFault {
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
