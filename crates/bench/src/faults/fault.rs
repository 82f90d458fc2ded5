//! The kinds of faults that chaos runs inject, and the processes that each one affects.

use std::fmt;
use std::time::Duration;

use hooklug_emulator::FaultKind;
use hooklug_fleet::{ProcessKind, ProcessName};

/// A fault in the responses of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Share of the requests that are affected, in percent.
    pub percent: u8,
}

/// A fault of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Kills processes without warning and restarts them with their disks.
    Kill(Vec<ProcessName>),
    /// Kills engines one after another, each as soon as sessions of the previous one are being
    /// taken over.
    KillSequentially(Vec<ProcessName>),
    /// Suspends a process and resumes it.
    Freeze(ProcessName),
    /// Isolates a node from all others.
    Isolate(ProcessName),
    /// Drops all messages from one node to another.
    DropOneWay(ProcessName, ProcessName),
    /// Replaces a machine by an empty one at a new address.
    Replace(ProcessName),
    /// Erases the disk of a store, which restarts at the same address.
    LoseDisk(ProcessName),
    /// Drains a process: the platform stops and restarts it; a fake application engine refuses
    /// new work for a while.
    Drain(ProcessName),
    /// Restarts all nodes of a kind, one after another.
    RollingRestart(ProcessKind),
    /// Makes a backend return faulty responses for a while.
    Backend(ProcessName, BackendFault),
    /// Restarts a backend in place with a new incarnation.
    RestartBackend(ProcessName),
    /// Releases a version that loses most of its responses.
    HarmfulRelease,
}

/// Duration of long faults, which must exceed the lease time (requirement: isolation of 20 s or
/// more).
const LONG_FAULT_TIME: Duration = Duration::from_secs(22);
const SHORT_FAULT_TIME: Duration = Duration::from_secs(4);
/// Duration of a harmful release. A rollout step takes 5 s, and the failures show in the second or
/// third (bundle defaults).
const RELEASE_TIME: Duration = Duration::from_secs(30);

impl Fault {
    /// Returns the processes that the fault is applied to.
    #[must_use]
    pub fn targets(&self) -> Vec<ProcessName> {
        match self {
            Self::Kill(names) | Self::KillSequentially(names) => names.clone(),
            Self::DropOneWay(from, to) => vec![*from, *to],
            Self::Freeze(name)
            | Self::Isolate(name)
            | Self::Replace(name)
            | Self::LoseDisk(name)
            | Self::Drain(name)
            | Self::Backend(name, _)
            | Self::RestartBackend(name) => vec![*name],
            Self::RollingRestart(_) | Self::HarmfulRelease => Vec::new(),
        }
    }

    /// Returns whether a store loses its data for good.
    #[must_use]
    pub fn loses_disk(&self) -> bool {
        match self {
            Self::Replace(name) => name.kind == ProcessKind::Store,
            Self::LoseDisk(_) => true,
            _ => false,
        }
    }

    /// Returns whether the fault affects any store.
    #[must_use]
    pub fn affects_stores(&self) -> bool {
        matches!(self, Self::RollingRestart(ProcessKind::Store))
            || self.targets().iter().any(|name| name.kind == ProcessKind::Store)
    }

    /// Returns how long the fault lasts. `long` extends faults in which the lease of an
    /// unresponsive node must expire.
    #[must_use]
    pub fn duration(&self, long: bool) -> Duration {
        match self {
            Self::HarmfulRelease => RELEASE_TIME,
            Self::Freeze(_) | Self::Isolate(_) if long => LONG_FAULT_TIME,
            Self::Replace(_) | Self::LoseDisk(_) | Self::RestartBackend(_) => Duration::ZERO,
            Self::RollingRestart(_) => Duration::ZERO,
            _ => SHORT_FAULT_TIME,
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
            Self::KillSequentially(names) => {
                let names: Vec<String> = names.iter().map(ToString::to_string).collect();
                write!(f, "kill {}", names.join(" then "))
            }
            Self::Freeze(name) => write!(f, "freeze {name}"),
            Self::Isolate(name) => write!(f, "cut off {name}"),
            Self::DropOneWay(from, to) => write!(f, "cut {from} to {to}, one way"),
            Self::Replace(name) => write!(f, "replace {name}"),
            Self::LoseDisk(name) => write!(f, "lose the disk of {name}"),
            Self::Drain(name) => write!(f, "drain {name}"),
            Self::RollingRestart(kind) => write!(f, "rolling restart of {}s", kind.as_str()),
            Self::Backend(name, fault) => {
                write!(f, "{name}: {:?} {} %", fault.kind, fault.percent)
            }
            Self::RestartBackend(name) => write!(f, "restart {name} in place"),
            Self::HarmfulRelease => f.write_str("harmful release"),
        }
    }
}
