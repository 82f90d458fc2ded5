//! Server-sent events in the format of docs/API.md.

use bytes::Bytes;
use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{EndReason, EventSeq, SessionId, TurnId};
use serde_json::{Value, json};

/// A comment line that keeps an idle stream open and detects disconnected clients.
pub const KEEP_ALIVE: Bytes = Bytes::from_static(b":\n\n");

/// Name and data of one event.
#[derive(Debug, Clone, PartialEq)]
struct WireEvent {
    event: &'static str,
    data: Value,
}

fn json_text(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

fn ended(turn: Option<&TurnId>, reason: &EndReason, tokens: u64) -> WireEvent {
    let turn = turn.map(TurnId::as_str);
    let (event, code) = match reason {
        EndReason::Finished => ("finished", None),
        EndReason::Interrupted => ("interrupted", None),
        EndReason::Aborted => ("aborted", None),
        EndReason::Failed { code } => ("failed", Some(*code)),
    };
    let data = match code {
        Some(code) => json!({"turn": turn, "tokens": tokens, "code": code}),
        None => json!({"turn": turn, "tokens": tokens}),
    };
    WireEvent { event, data }
}

fn wire_event(event: &Event) -> WireEvent {
    let turn = event.turn.as_ref().map(TurnId::as_str);
    match &event.body {
        EventBody::TurnStarted { after, input } => WireEvent {
            event: "turn",
            data: json!({"turn": turn, "after": after.as_ref().map(TurnId::as_str), "input": input}),
        },
        EventBody::Tokens { text, count } => WireEvent {
            event: "tokens",
            data: json!({"turn": turn, "text": text, "count": count.0}),
        },
        EventBody::ToolRequested { tool, arguments } => WireEvent {
            event: "tool_requested",
            data: json!({"turn": turn, "tool": tool, "arguments": json_text(arguments)}),
        },
        EventBody::ToolResult { call, result } => WireEvent {
            event: "tool_result",
            data: json!({"turn": turn, "call": call, "result": json_text(result)}),
        },
        EventBody::TurnEnded { reason, tokens } => ended(event.turn.as_ref(), reason, tokens.0),
        EventBody::Closed => WireEvent { event: "closed", data: json!({}) },
    }
}

fn encode(id: EventSeq, event: &str, data: &Value) -> Bytes {
    Bytes::from(format!("id: {id}\nevent: {event}\ndata: {data}\n\n"))
}

/// Encodes one committed event.
#[must_use]
pub fn event(event: &Event) -> Bytes {
    let WireEvent { event: name, data } = wire_event(event);
    encode(event.seq, name, &data)
}

/// Encodes the first event of a joined session: all events so far. Its id is that of the last one.
#[must_use]
pub fn sync(session: &SessionId, history: &[Event]) -> Bytes {
    let last = history.last().map_or(EventSeq(0), |e| e.seq);
    let events: Vec<Value> = history
        .iter()
        .map(|e| {
            let WireEvent { event, data } = wire_event(e);
            json!({"id": e.seq.0, "event": event, "data": data})
        })
        .collect();
    encode(last, "sync", &json!({"session": session.as_str(), "events": events}))
}
