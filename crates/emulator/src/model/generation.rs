//! A generation: waits for a slot, then streams the lines of the response at the configured speed.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc::Sender;

use super::text::{count_tokens, plan_response};
use super::{Generate, ModelServer};
use crate::faults::RequestFaults;
use crate::http::{ABORT_DELAY, abort_error};
use crate::ledger::LedgerEntry;
use crate::state::{RequestId, RunningGuard};

type BodySender = Sender<Result<Bytes, io::Error>>;

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
pub(super) struct ResponseLines {
    pub request: RequestId,
    bodies: Vec<LineBody>,
}

impl ResponseLines {
    fn plan(request: RequestId, seed: u64, body: &Generate) -> Self {
        let plan = plan_response(seed, &body.context, &body.input, body.max_tokens);
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

    fn encoded(&self, index: usize) -> Vec<u8> {
        let line =
            Line { request: &self.request.0, seq: index as u64 + 1, body: &self.bodies[index] };
        let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }
}

/// A generation that has not ended.
pub(super) struct Generation {
    server: Arc<ModelServer>,
    body: Generate,
    faults: RequestFaults,
    /// Lines to send: its own, or those of another request if the `cross` fault applies.
    lines: ResponseLines,
    /// Whether `lines` belong to another request.
    is_crossed: bool,
    guard: GenerationGuard,
}

/// Records the end of a generation in the ledger when it is dropped, even if the client
/// disconnected.
struct GenerationGuard {
    server: Arc<ModelServer>,
    request: RequestId,
    session: String,
    turn: String,
    text: String,
    tokens: u64,
    end: &'static str,
    _running: RunningGuard,
}

impl Drop for GenerationGuard {
    fn drop(&mut self) {
        self.server.state.record(LedgerEntry::GenerationEnded {
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
struct StreamAborted;

impl Generation {
    pub(super) fn new(
        server: Arc<ModelServer>,
        body: Generate,
        request: RequestId,
        faults: RequestFaults,
        crossed_lines: Option<ResponseLines>,
    ) -> Self {
        let own_lines = ResponseLines::plan(request.clone(), server.options.seed, &body);
        *server.last_response() = Some(own_lines.clone());
        let guard = GenerationGuard {
            request,
            session: body.session.clone(),
            turn: body.turn.clone(),
            text: String::new(),
            tokens: 0,
            end: "aborted",
            _running: server.state.count_running(),
            server: server.clone(),
        };
        let is_crossed = crossed_lines.is_some();
        Self { server, body, faults, lines: crossed_lines.unwrap_or(own_lines), is_crossed, guard }
    }

    /// Runs to the end, or until the client disconnects.
    pub(super) async fn run(mut self, sender: BodySender) {
        let slots = self.server.slots.clone();
        let slot = tokio::select! {
            slot = slots.acquire_owned() => slot,
            () = sender.closed() => return,
        };
        let first_token = self.first_token_delay();
        let streamed = tokio::select! {
            streamed = self.stream(&sender, first_token) => streamed,
            () = sender.closed() => Err(StreamAborted),
        };
        drop(slot);
        if self.is_crossed {
            self.guard.end = "crossed";
        } else if streamed.is_ok() {
            self.guard.end = match self.lines.bodies.last() {
                Some(LineBody::End { end, .. }) => end,
                _ => "stop",
            };
        }
    }

    /// Looks up the context in the cache, records the start in the ledger, and returns the time to
    /// the first token.
    fn first_token_delay(&self) -> Duration {
        let body = &self.body;
        let context: u64 = body.context.iter().map(|item| count_tokens(&item.text)).sum();
        let cached = self.server.cache().lookup_and_insert(
            body.prefix.as_deref(),
            &body.session,
            context + count_tokens(&body.input),
        );
        self.server.state.record(LedgerEntry::GenerationBegan {
            request: self.guard.request.0.clone(),
            session: body.session.clone(),
            turn: body.turn.clone(),
            prefix: body.prefix.clone(),
            prefix_hit: cached.prefix_hit,
            uncached_tokens: cached.uncached_tokens,
        });
        let options = &self.server.options;
        let uncached = u32::try_from(cached.uncached_tokens).unwrap_or(u32::MAX);
        options.first_token
            + options.per_uncached_token.saturating_mul(uncached)
            + self.faults.delay
    }

    async fn stream(
        &mut self,
        sender: &BodySender,
        first_token: Duration,
    ) -> Result<(), StreamAborted> {
        tokio::time::sleep(first_token).await;
        let half = self.lines.bodies.len() / 2;
        for index in 0..self.lines.bodies.len() {
            if index > 0 {
                tokio::time::sleep(self.token_interval()).await;
            }
            if index == half {
                self.apply_midstream_faults(sender).await?;
            }
            let mut bytes = self.lines.encoded(index);
            if self.faults.garble && index == half {
                bytes.iter_mut().for_each(|byte| *byte ^= 0x15);
            }
            self.record_tokens(index);
            sender.send(Ok(bytes.into())).await.map_err(|_| StreamAborted)?;
        }
        Ok(())
    }

    /// Applies the faults that stall or abort a stream in its middle.
    async fn apply_midstream_faults(&self, sender: &BodySender) -> Result<(), StreamAborted> {
        if self.faults.stall {
            sender.closed().await;
            return Err(StreamAborted);
        }
        if self.faults.cut_short {
            tokio::time::sleep(ABORT_DELAY).await;
            let _ = sender.send(Err(abort_error())).await;
            return Err(StreamAborted);
        }
        Ok(())
    }

    fn record_tokens(&mut self, index: usize) {
        if let LineBody::Text { text, tokens } = &self.lines.bodies[index] {
            self.guard.text.push_str(text);
            self.guard.tokens += tokens;
        }
    }

    /// Time between tokens at the current load.
    fn token_interval(&self) -> Duration {
        let options = &self.server.options;
        let others = self.server.state.running().saturating_sub(1).min(options.slots);
        let share = f64::from(others) / f64::from(options.slots.max(1));
        options.between_tokens.mul_f64(1.0 + options.load_factor * share) + self.faults.gap
    }
}
