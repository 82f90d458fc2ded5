//! The faults of the brief, each with the processes that it hits.

use std::fmt;
use std::time::Duration;

use hooklug_emulator::FaultKind;
use hooklug_fleet::{ProcessKind, ProcessName};

/// A fault of a back end's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Share of the requests that it hits, in percent.
    pub percent: u8,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Processes are killed without warning and come back with their disks.
    Kill(Vec<ProcessName>),
    /// Engines are killed one after another, each when sessions of the one before are just taken over.
    KillInTurn(Vec<ProcessName>),
    /// A process is frozen and wakes.
    Freeze(ProcessName),
    /// A node is cut off from all others.
    CutOff(ProcessName),
    /// What one node sends to another is lost.
    CutOneWay(ProcessName, ProcessName),
    /// A machine is replaced by an empty one at a new address.
    Replace(ProcessName),
    /// A store loses its disk and comes back at its address.
    LoseDisk(ProcessName),
    /// The platform stops a process and starts it again; a stand-in refuses new work for a while.
    Drain(ProcessName),
    /// All nodes of a kind are restarted, one after another.
    RollingRestart(ProcessKind),
    /// A back end misbehaves for a while.
    Backend(ProcessName, BackendFault),
    /// A back end restarts in place with a new incarnation.
    RestartBackend(ProcessName),
    /// A version that loses most of its answers is released.
    HarmfulRelease,
}

/// Longest a process that fails is away, in seconds, by what the fault is (brief: cut-offs of 20 s or more).
const LONG_HOLD: Duration = Duration::from_secs(22);
const SHORT_HOLD: Duration = Duration::from_secs(4);
/// A release has 5 s steps; its harm shows in the second or third (bundle defaults).
const RELEASE_HOLD: Duration = Duration::from_secs(30);

impl Fault {
    /// Processes that it hits.
    #[must_use]
    pub fn hit(&self) -> Vec<ProcessName> {
        match self {
            Self::Kill(names) | Self::KillInTurn(names) => names.clone(),
            Self::CutOneWay(from, to) => vec![*from, *to],
            Self::Freeze(name)
            | Self::CutOff(name)
            | Self::Replace(name)
            | Self::LoseDisk(name)
            | Self::Drain(name)
            | Self::Backend(name, _)
            | Self::RestartBackend(name) => vec![*name],
            Self::RollingRestart(_) | Self::HarmfulRelease => Vec::new(),
        }
    }

    /// Whether what a store held is gone for good.
    #[must_use]
    pub fn loses_disk(&self) -> bool {
        match self {
            Self::Replace(name) => name.kind == ProcessKind::Store,
            Self::LoseDisk(_) => true,
            _ => false,
        }
    }

    /// Whether it hits a store at all.
    #[must_use]
    pub fn hits_stores(&self) -> bool {
        matches!(self, Self::RollingRestart(ProcessKind::Store))
            || self.hit().iter().any(|name| name.kind == ProcessKind::Store)
    }

    /// How long it lasts: long where a lease has to run out over a silent node.
    #[must_use]
    pub fn hold(&self, long: bool) -> Duration {
        match self {
            Self::HarmfulRelease => RELEASE_HOLD,
            Self::Freeze(_) | Self::CutOff(_) if long => LONG_HOLD,
            Self::Replace(_) | Self::LoseDisk(_) | Self::RestartBackend(_) => Duration::ZERO,
            Self::RollingRestart(_) => Duration::ZERO,
            _ => SHORT_HOLD,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(names) => {
                let names: Vec<String> = names.iter().map(ToString::to_string).collect();
                write!(f, "kill {}", names.join(" "))
            }
            Self::KillInTurn(names) => {
                let names: Vec<String> = names.iter().map(ToString::to_string).collect();
                write!(f, "kill {}", names.join(" then "))
            }
            Self::Freeze(name) => write!(f, "freeze {name}"),
            Self::CutOff(name) => write!(f, "cut off {name}"),
            Self::CutOneWay(from, to) => write!(f, "cut {from} to {to}, one way"),
            Self::Replace(name) => write!(f, "replace {name}"),
            Self::LoseDisk(name) => write!(f, "lose the disk of {name}"),
            Self::Drain(name) => write!(f, "drain {name}"),
            Self::RollingRestart(kind) => write!(f, "rolling restart of {}s", kind.word()),
            Self::Backend(name, fault) => {
                write!(f, "{name}: {:?} {} %", fault.kind, fault.percent)
            }
            Self::RestartBackend(name) => write!(f, "restart {name} in place"),
            Self::HarmfulRelease => f.write_str("harmful release"),
        }
    }
}
