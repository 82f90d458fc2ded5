//! A generation: waits for a slot, then streams the lines of the response at the configured speed.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc::Sender;

use super::text::{count_tokens, plan_answer};
use super::{Generate, ModelServer};
use crate::faults::Hit;
use crate::http::{CUT_PAUSE, broken};
use crate::ledger::LedgerEntry;
use crate::state::{RequestId, Running};

type Pieces = Sender<Result<Bytes, io::Error>>;

/// A line of a response, without its request id and sequence number.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
enum LineBody {
    Text { text: String, tokens: u64 },
    Tool { tool: ToolRequest },
    End { end: &'static str, tokens_total: u64, events: u64 },
}

#[derive(Debug, Clone, PartialEq, Serialize)]
struct ToolRequest {
    name: String,
    arguments: Value,
}

#[derive(Debug, Serialize)]
struct Line<'a> {
    request: &'a str,
    seq: u64,
    #[serde(flatten)]
    body: &'a LineBody,
}

/// All lines of a response.
#[derive(Debug, Clone)]
pub(super) struct Lines {
    pub request: RequestId,
    bodies: Vec<LineBody>,
}

impl Lines {
    fn planned(request: RequestId, seed: u64, body: &Generate) -> Self {
        let plan = plan_answer(seed, &body.context, &body.input, body.max_tokens);
        let total = plan.tokens.len() as u64;
        let mut bodies: Vec<LineBody> =
            plan.tokens.into_iter().map(|text| LineBody::Text { text, tokens: 1 }).collect();
        if let Some(name) = plan.tool {
            let tool = ToolRequest { name, arguments: serde_json::json!({"turn": body.turn}) };
            bodies.insert(bodies.len().min(1), LineBody::Tool { tool });
        }
        let end = if plan.limited { "length" } else { "stop" };
        let events = bodies.len() as u64;
        bodies.push(LineBody::End { end, tokens_total: total, events });
        Self { request, bodies }
    }

    fn encoded(&self, place: usize) -> Vec<u8> {
        let line =
            Line { request: &self.request.0, seq: place as u64 + 1, body: &self.bodies[place] };
        let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }
}

/// A generation that has not ended.
pub(super) struct Generation {
    server: Arc<ModelServer>,
    body: Generate,
    hit: Hit,
    /// Lines to send: its own, or those of another request if the `cross` fault applies.
    lines: Lines,
    /// Whether `lines` belong to another request.
    crossed: bool,
    record: Record,
}

/// Records the end of a generation in the ledger when it is dropped, even if the client
/// disconnected.
struct Record {
    server: Arc<ModelServer>,
    request: RequestId,
    session: String,
    turn: String,
    text: String,
    tokens: u64,
    end: &'static str,
    _running: Running,
}

impl Drop for Record {
    fn drop(&mut self) {
        self.server.core.record(LedgerEntry::GenerationEnded {
            request: self.request.0.clone(),
            session: std::mem::take(&mut self.session),
            turn: std::mem::take(&mut self.turn),
            text: std::mem::take(&mut self.text),
            tokens: self.tokens,
            end: self.end.to_owned(),
        });
    }
}

/// The client disconnected, or a fault ended the stream.
struct Ended;

impl Generation {
    pub(super) fn new(
        server: Arc<ModelServer>,
        body: Generate,
        request: RequestId,
        hit: Hit,
        crossed: Option<Lines>,
    ) -> Self {
        let own = Lines::planned(request.clone(), server.options.seed, &body);
        *server.last_answer() = Some(own.clone());
        let record = Record {
            request,
            session: body.session.clone(),
            turn: body.turn.clone(),
            text: String::new(),
            tokens: 0,
            end: "aborted",
            _running: server.core.enter(),
            server: server.clone(),
        };
        let is_crossed = crossed.is_some();
        Self { server, body, hit, lines: crossed.unwrap_or(own), crossed: is_crossed, record }
    }

    /// Runs to the end, or until the client disconnects.
    pub(super) async fn run(mut self, pieces: Pieces) {
        let slots = self.server.slots.clone();
        let slot = tokio::select! {
            slot = slots.acquire_owned() => slot,
            () = pieces.closed() => return,
        };
        let first_token = self.look_up();
        let streamed = tokio::select! {
            streamed = self.stream(&pieces, first_token) => streamed,
            () = pieces.closed() => Err(Ended),
        };
        drop(slot);
        if self.crossed {
            self.record.end = "crossed";
        } else if streamed.is_ok() {
            self.record.end = match self.lines.bodies.last() {
                Some(LineBody::End { end, .. }) => end,
                _ => "stop",
            };
        }
    }

    /// Looks up the context in the cache, records the start in the ledger, and returns the time to
    /// the first token.
    fn look_up(&self) -> Duration {
        let body = &self.body;
        let context: u64 = body.context.iter().map(|item| count_tokens(&item.text)).sum();
        let found = self.server.cache().use_for(
            body.prefix.as_deref(),
            &body.session,
            context + count_tokens(&body.input),
        );
        self.server.core.record(LedgerEntry::GenerationBegan {
            request: self.record.request.0.clone(),
            session: body.session.clone(),
            turn: body.turn.clone(),
            prefix: body.prefix.clone(),
            prefix_hit: found.prefix_hit,
            uncached_tokens: found.uncached_tokens,
        });
        let options = &self.server.options;
        let uncached = u32::try_from(found.uncached_tokens).unwrap_or(u32::MAX);
        options.first_token + options.per_uncached_token.saturating_mul(uncached) + self.hit.delay
    }

    async fn stream(&mut self, pieces: &Pieces, first_token: Duration) -> Result<(), Ended> {
        tokio::time::sleep(first_token).await;
        let half = self.lines.bodies.len() / 2;
        for place in 0..self.lines.bodies.len() {
            if place > 0 {
                tokio::time::sleep(self.gap()).await;
            }
            if place == half {
                self.break_off(pieces).await?;
            }
            let mut bytes = self.lines.encoded(place);
            if self.hit.garble && place == half {
                bytes.iter_mut().for_each(|byte| *byte ^= 0x15);
            }
            self.count(place);
            pieces.send(Ok(bytes.into())).await.map_err(|_| Ended)?;
        }
        Ok(())
    }

    /// Applies the faults that stall or abort a stream in its middle.
    async fn break_off(&self, pieces: &Pieces) -> Result<(), Ended> {
        if self.hit.stall {
            pieces.closed().await;
            return Err(Ended);
        }
        if self.hit.cut_short {
            tokio::time::sleep(CUT_PAUSE).await;
            let _ = pieces.send(Err(broken())).await;
            return Err(Ended);
        }
        Ok(())
    }

    fn count(&mut self, place: usize) {
        if let LineBody::Text { text, tokens } = &self.lines.bodies[place] {
            self.record.text.push_str(text);
            self.record.tokens += tokens;
        }
    }

    /// Time between tokens at the current load.
    fn gap(&self) -> Duration {
        let options = &self.server.options;
        let others = self.server.core.running().saturating_sub(1).min(options.slots);
        let share = f64::from(others) / f64::from(options.slots.max(1));
        options.between_tokens.mul_f64(1.0 + options.load_factor * share) + self.hit.gap
    }
}
