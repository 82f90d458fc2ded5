//! A caller with its gateway: sends requests, reconnects, and checks everything that it receives.

use std::time::Duration;

use hooklug_session::{ClientId, Message, ReplyId, TurnRequest};
use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{Digest, EventSeq, SessionId, TenantId, TokenCount};

use crate::scenario::Step;
use crate::world::{CheckResult, NOW, turn_id};

#[derive(Debug, Clone)]
pub struct Caller {
    pub session: SessionId,
    pub steps: Vec<Step>,
    /// The engine that the caller is connected to or waits for.
    pub connected: Option<usize>,
    /// Number of broken connections, which distinguishes late messages of earlier connections.
    pub broken_connections: u64,
    /// Events of the current step, in batches as they arrived.
    pub batches: Vec<Vec<Event>>,
    /// The token ledger at the last `BudgetReserved` refusal; the caller retries only after the
    /// ledger has changed.
    pub refused_at: Option<(u64, u64)>,
}

impl Caller {
    pub fn new(session: &str, steps: &[Step]) -> Self {
        Self {
            session: session.parse().expect("valid"),
            steps: steps.to_vec(),
            connected: None,
            broken_connections: 0,
            batches: Vec::new(),
            refused_at: None,
        }
    }

    pub fn client(&self, number: usize) -> ClientId {
        ClientId(self.broken_connections * 10 + number as u64)
    }

    pub fn next_step(&mut self) {
        self.steps.remove(0);
        self.batches.clear();
        self.refused_at = None;
    }

    pub fn last_seen(&self) -> Option<EventSeq> {
        self.batches.iter().flatten().last().map(|e| e.seq)
    }

    /// Returns the request of the caller's current step.
    pub fn message(&self, number: usize) -> Message {
        let client = self.client(number);
        match self.steps.first() {
            Some(Step::Turn(name)) => Message::RunTurn {
                client,
                request: request(name),
                last_seen: self.last_seen().unwrap_or_default(),
            },
            Some(Step::Join(_)) => Message::Join { client, last_seen: self.last_seen() },
            Some(Step::Tool(call)) => Message::ToolResult {
                reply: ReplyId(client.0),
                call: (*call).to_owned(),
                result: "1".to_owned(),
            },
            Some(Step::Abort(name)) => {
                Message::Abort { reply: ReplyId(client.0), turn: turn_id(name) }
            }
            None => Message::Tick,
        }
    }

    /// Receives events and checks that none is missing, duplicated or out of order.
    pub fn receive_events(&mut self, events: Vec<Event>, log: &[Event]) -> CheckResult {
        let (turn, whole_session) = match self.steps.first() {
            Some(Step::Turn(name)) => (turn_id(name), false),
            Some(Step::Join(name)) => (turn_id(name), true),
            _ => return Ok(()),
        };
        let seen = self.last_seen().unwrap_or_default();
        let is_due = |e: &&Event| e.seq > seen && (whole_session || e.turn.as_ref() == Some(&turn));
        let due: Vec<&Event> = log.iter().filter(is_due).take(events.len()).collect();
        if due != events.iter().collect::<Vec<_>>() {
            return Err(format!(
                "lost, duplicated or reordered events: got {events:?}, due {due:?}"
            ));
        }
        let is_over = events.iter().any(|e| {
            e.turn.as_ref() == Some(&turn) && matches!(e.body, EventBody::TurnEnded { .. })
        });
        if is_over {
            self.next_step();
            self.connected = None;
        } else if !events.is_empty() {
            self.batches.push(events);
        }
        Ok(())
    }
}

/// Builds the request of a turn; each turn follows the one with the preceding number.
fn request(name: &str) -> TurnRequest {
    let number: u32 = name.trim_start_matches('t').parse().expect("t and a number");
    TurnRequest {
        turn: turn_id(name),
        after: (number > 1).then(|| turn_id(&format!("t{}", number - 1))),
        input: format!("input of {name}"),
        max_tokens: TokenCount(2),
        digest: Digest::of(name.as_bytes()),
        tenant: TenantId::new("dalatek").expect("valid"),
        group: None,
        urgent: false,
        deadline: *NOW + Duration::from_secs(100),
    }
}
