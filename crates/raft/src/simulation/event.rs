//! Events of a run and their queue, ordered by simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use hooklug_types::NodeId;

use crate::message::Message;
use crate::ready::Snapshot;

/// A packet in transit between two replicas.
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

/// Identifies a run of a replica's process. Events of an earlier run are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunId {
    pub(crate) node: NodeId,
    pub(crate) number: u64,
}

/// A scheduled event.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Tick(RunId),
    Deliver {
        packet: Packet,
        sender_run: RunId,
    },
    SyncDone(RunId),
    ReportSnapshot {
        run: RunId,
        to: NodeId,
        sent: bool,
    },
    Write(NodeId),
    Read(NodeId),
    Restart(NodeId),
    /// The scheduled failure of a leader.
    LeaderFailure(NodeId),
    HealLink {
        from: NodeId,
        to: NodeId,
    },
    /// Draws the next client request.
    NextRequest,
    /// Draws faults and operator actions.
    NextFaults,
}

impl Event {
    /// The replica that handles the event; the event is postponed while that replica is frozen.
    pub(crate) fn node(&self) -> Option<NodeId> {
        match self {
            Self::Tick(run) | Self::SyncDone(run) | Self::ReportSnapshot { run, .. } => {
                Some(run.node)
            }
            Self::Deliver { packet, .. } => Some(packet.to()),
            Self::Write(node) | Self::Read(node) => Some(*node),
            Self::Restart(_)
            | Self::LeaderFailure(_)
            | Self::HealLink { .. }
            | Self::NextRequest
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
    /// Reverses the order by time, since `BinaryHeap` pops the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Event queue ordered by time, then by the order of scheduling.
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
