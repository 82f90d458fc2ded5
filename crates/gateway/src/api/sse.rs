//! Server-sent events in the format of docs/API.md.

use bytes::Bytes;
use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{EndReason, EventSeq, SessionId, TurnId};
use serde_json::{Value, json};

/// A comment line that keeps an idle stream open and detects disconnected clients.
pub const KEEP_ALIVE: Bytes = Bytes::from_static(b":\n\n");

/// Name and data of one event.
#[derive(Debug, Clone, PartialEq)]
struct Named {
    event: &'static str,
    data: Value,
}

fn json_text(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

fn ended(turn: Option<&TurnId>, reason: &EndReason, tokens: u64) -> Named {
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
    Named { event, data }
}

fn named(event: &Event) -> Named {
    let turn = event.turn.as_ref().map(TurnId::as_str);
    match &event.body {
        EventBody::TurnStarted { after, input } => Named {
            event: "turn",
            data: json!({"turn": turn, "after": after.as_ref().map(TurnId::as_str), "input": input}),
        },
        EventBody::Tokens { text, count } => {
            Named { event: "tokens", data: json!({"turn": turn, "text": text, "count": count.0}) }
        }
        EventBody::ToolRequested { tool, arguments } => Named {
            event: "tool_requested",
            data: json!({"turn": turn, "tool": tool, "arguments": json_text(arguments)}),
        },
        EventBody::ToolResult { call, result } => Named {
            event: "tool_result",
            data: json!({"turn": turn, "call": call, "result": json_text(result)}),
        },
        EventBody::TurnEnded { reason, tokens } => ended(event.turn.as_ref(), reason, tokens.0),
        EventBody::Closed => Named { event: "closed", data: json!({}) },
    }
}

fn write(id: EventSeq, event: &str, data: &Value) -> Bytes {
    Bytes::from(format!("id: {id}\nevent: {event}\ndata: {data}\n\n"))
}

/// Encodes one committed event.
#[must_use]
pub fn event(event: &Event) -> Bytes {
    let Named { event: name, data } = named(event);
    write(event.seq, name, &data)
}

/// Encodes the first event of a joined session: all events so far. Its id is that of the last one.
#[must_use]
pub fn sync(session: &SessionId, history: &[Event]) -> Bytes {
    let last = history.last().map_or(EventSeq(0), |e| e.seq);
    let events: Vec<Value> = history
        .iter()
        .map(|e| {
            let Named { event, data } = named(e);
            json!({"id": e.seq.0, "event": event, "data": data})
        })
        .collect();
    write(last, "sync", &json!({"session": session.as_str(), "events": events}))
}
