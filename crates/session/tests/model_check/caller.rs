//! A caller behind its gateway: asks, reconnects, and checks all that it gets.

use std::time::Duration;

use hooklug_session::{ClientId, Message, ReplyId, TurnRequest};
use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{Digest, EventSeq, SessionId, TenantId, TokenCount};

use crate::scenario::Step;
use crate::world::{Checked, NOW, turn_id};

#[derive(Debug, Clone)]
pub struct Caller {
    pub session: SessionId,
    pub steps: Vec<Step>,
    /// Engine that it is connected to, or waits for an answer from.
    pub connected: Option<usize>,
    /// Grows with every broken connection, so that what is late for an old one is told apart.
    pub line: u64,
    /// Events of the present step, by batch as they arrived.
    pub batches: Vec<Vec<Event>>,
    /// The ledger when budget was refused as reserved; asked again only once it has changed.
    pub refused_at: Option<(u64, u64)>,
}

impl Caller {
    pub fn new(session: &str, steps: &[Step]) -> Self {
        Self {
            session: session.parse().expect("valid"),
            steps: steps.to_vec(),
            connected: None,
            line: 0,
            batches: Vec::new(),
            refused_at: None,
        }
    }

    pub fn client(&self, number: usize) -> ClientId {
        ClientId(self.line * 10 + number as u64)
    }

    pub fn next_step(&mut self) {
        self.steps.remove(0);
        self.batches.clear();
        self.refused_at = None;
    }

    pub fn last_seen(&self) -> Option<EventSeq> {
        self.batches.iter().flatten().last().map(|e| e.seq)
    }

    /// What the caller asks for now.
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

    /// Takes events that arrive and checks that none is missing, twice or out of its place.
    pub fn take_events(&mut self, events: Vec<Event>, log: &[Event]) -> Checked {
        let (turn, whole) = match self.steps.first() {
            Some(Step::Turn(name)) => (turn_id(name), false),
            Some(Step::Join(name)) => (turn_id(name), true),
            _ => return Ok(()),
        };
        let seen = self.last_seen().unwrap_or_default();
        let wanted = |e: &&Event| e.seq > seen && (whole || e.turn.as_ref() == Some(&turn));
        let due: Vec<&Event> = log.iter().filter(wanted).take(events.len()).collect();
        if due != events.iter().collect::<Vec<_>>() {
            return Err(format!("lost, repeated or spliced: got {events:?}, due {due:?}"));
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

/// A turn's request; each turn follows the one with the number before.
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
