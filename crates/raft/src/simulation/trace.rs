//! Digest of a run and, if requested, a readable trace of its last events.

use std::collections::VecDeque;

use super::event::{Event, Packet};
use super::fingerprint::Fingerprint;
use crate::node::RawNode;
use crate::ready::Role;

/// Number of trace lines retained: enough to see what led to a violation.
const MAX_TRACE_LINES: usize = 400;

/// Digest and trace of a run.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    digest: Fingerprint,
    events: u64,
    lines: Option<VecDeque<String>>,
}

impl Trace {
    pub(crate) fn new(record_trace: bool) -> Self {
        Self { lines: record_trace.then(VecDeque::new), ..Self::default() }
    }

    /// Records an event before it is processed.
    pub(crate) fn event(&mut self, at: u64, event: &Event) {
        self.events += 1;
        self.digest.number(at);
        self.digest.number(event.node().map_or(0, |node| node.0));
        if let Event::Deliver { packet: Packet::Message(message), .. } = event {
            self.digest.number(message.from.0);
            self.digest.number(message.term);
        }
        if !matches!(event, Event::Tick(_) | Event::NextRequest | Event::NextFaults) {
            self.push_line(at, || format!("{event:?}"));
        }
    }

    /// Records a replica's state after an event.
    pub(crate) fn state(&mut self, at: u64, raw: &RawNode) {
        let role = match raw.role {
            Role::Follower => 0,
            Role::PreCandidate => 1,
            Role::Candidate => 2,
            Role::Leader => 3,
        };
        let numbers = [role, raw.term, raw.log.last_index(), raw.log.commit(), raw.log.applied()];
        for number in numbers {
            self.digest.number(number);
        }
        self.push_line(at, || {
            let [_, term, last, commit, applied] = numbers;
            let (id, role, stable) = (raw.config.id, raw.role, raw.log.stable());
            format!(
                "  {id} {role:?} term {term} last {last} stable {stable} commit {commit} applied {applied}"
            )
        });
    }

    /// Adds a line to the trace, if one is recorded.
    pub(crate) fn push_line(&mut self, at: u64, line: impl FnOnce() -> String) {
        if let Some(lines) = &mut self.lines {
            if lines.len() == MAX_TRACE_LINES {
                lines.pop_front();
            }
            lines.push_back(format!("{at:>6} {}", line()));
        }
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest.value()
    }

    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    pub(crate) fn into_lines(self) -> Vec<String> {
        self.lines.unwrap_or_default().into()
    }
}
