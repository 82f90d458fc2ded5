//! What happens when: a queue of events in simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use hooklug_types::NodeId;

use crate::message::Message;
use crate::ready::Snapshot;

/// Something on its way between two replicas.
#[derive(Debug, Clone)]
pub(crate) enum Packet {
    Message(Message),
    Snapshot { from: NodeId, to: NodeId, term: u64, snapshot: Snapshot },
}

impl Packet {
    pub(crate) fn to(&self) -> NodeId {
        match self {
            Self::Message(message) => message.to,
            Self::Snapshot { to, .. } => *to,
        }
    }
}

/// One run of a replica; events of an earlier run are void.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) node: NodeId,
    pub(crate) number: u64,
}

/// An event.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Tick(Run),
    Deliver {
        packet: Packet,
        sent_in: Run,
    },
    SyncDone(Run),
    ReportSnapshot {
        run: Run,
        to: NodeId,
        sent: bool,
    },
    Write(NodeId),
    Read(NodeId),
    Restart(NodeId),
    /// The end that was drawn for a leader.
    LeaderFalls(NodeId),
    HealLink {
        from: NodeId,
        to: NodeId,
    },
    /// Draws the next client call.
    NextCall,
    /// Draws faults, compactions and operators' actions.
    NextFaults,
}

impl Event {
    /// The replica that must be awake for it.
    pub(crate) fn node(&self) -> Option<NodeId> {
        match self {
            Self::Tick(run) | Self::SyncDone(run) | Self::ReportSnapshot { run, .. } => {
                Some(run.node)
            }
            Self::Deliver { packet, .. } => Some(packet.to()),
            Self::Write(node) | Self::Read(node) => Some(*node),
            Self::Restart(_)
            | Self::LeaderFalls(_)
            | Self::HealLink { .. }
            | Self::NextCall
            | Self::NextFaults => None,
        }
    }
}

#[derive(Debug)]
struct Scheduled {
    at: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The earliest is the greatest, as the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events by time; those of one time in the order of their scheduling.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.sequence, event });
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}
