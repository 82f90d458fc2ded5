//! Incremental parser for server-sent events.

use serde_json::Value;

/// One event of a session's stream.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamEvent {
    /// Sequence number in the session's stream.
    pub id: u64,
    /// Event type.
    pub event: String,
    /// Payload.
    pub data: Value,
}

impl StreamEvent {
    /// Whether this is the terminal event of a turn.
    #[must_use]
    pub fn ends_turn(&self) -> bool {
        matches!(self.event.as_str(), "finished" | "interrupted" | "aborted" | "failed")
    }

    /// The turn to which the event belongs.
    #[must_use]
    pub fn turn(&self) -> Option<&str> {
        self.data["turn"].as_str()
    }
}

/// Error of parsing an event stream.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid event stream: {0}")]
pub struct SseError(String);

/// Parses an event stream that arrives in chunks of any size.
#[derive(Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    id: Option<u64>,
    event: String,
    data: Vec<String>,
}

impl SseParser {
    /// Adds a chunk and returns the events that it completes.
    ///
    /// # Errors
    /// When the text is not UTF-8, or an event lacks an id or has an invalid id or payload.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, SseError> {
        let mut events = Vec::new();
        for byte in bytes {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let text = String::from_utf8(line).map_err(|e| SseError(e.to_string()))?;
            events.extend(self.parse_line(text.trim_end_matches('\r'))?);
        }
        Ok(events)
    }

    fn parse_line(&mut self, line: &str) -> Result<Option<StreamEvent>, SseError> {
        if line.is_empty() {
            return self.finish_event();
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = Some(value.parse().map_err(|_| SseError(line.to_owned()))?),
            "event" => value.clone_into(&mut self.event),
            "data" => self.data.push(value.to_owned()),
            // Comments (an empty field name) keep the connection alive; unknown fields are ignored.
            _ => {}
        }
        Ok(None)
    }

    fn finish_event(&mut self) -> Result<Option<StreamEvent>, SseError> {
        let event = std::mem::take(&mut self.event);
        let data = std::mem::take(&mut self.data).join("\n");
        let id = self.id.take();
        if event.is_empty() && data.is_empty() {
            return Ok(None);
        }
        let id = id.ok_or_else(|| SseError(format!("event {event:?} has no id")))?;
        let data = serde_json::from_str(&data).map_err(|e| SseError(e.to_string()))?;
        Ok(Some(StreamEvent { id, event, data }))
    }
}
