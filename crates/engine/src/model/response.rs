//! Parses and validates the response stream of a generation. No I/O: bytes in, events out.

use hooklug_session::{ModelEnd, ModelEvent};
use hooklug_types::TokenCount;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Maximum length of a line in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Why a response stream is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidResponse {
    /// A line is too long or is not a JSON object that the protocol allows.
    #[error("invalid line in the response: {0}")]
    MalformedLine(String),
    /// A line belongs to another request.
    #[error("line of another request, {found}, in the response")]
    WrongRequest {
        /// The request id in the line.
        found: String,
    },
    /// A line was lost, repeated or reordered.
    #[error("line {found} received where line {expected} was expected")]
    OutOfOrder {
        /// The expected sequence number.
        expected: u64,
        /// The received sequence number.
        found: u64,
    },
    /// The counts in the end line do not match the received lines and tokens.
    #[error("the counts in the end line do not match the received lines and tokens")]
    CountMismatch,
    /// The response continues after its end line.
    #[error("data after the end line")]
    DataAfterEnd,
    /// The response stops before its end line.
    #[error("the response ended before its end line")]
    Truncated,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<'a> {
    request: String,
    seq: u64,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    tokens: Option<u64>,
    #[serde(default, borrow)]
    tool: Option<ToolRequest<'a>>,
    #[serde(default)]
    end: Option<End>,
    #[serde(default)]
    tokens_total: Option<u64>,
    #[serde(default)]
    events: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ToolRequest<'a> {
    name: String,
    #[serde(borrow)]
    arguments: &'a RawValue,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum End {
    Stop,
    Length,
    Error,
}

impl From<End> for ModelEnd {
    fn from(end: End) -> Self {
        match end {
            End::Stop => Self::Stop,
            End::Length => Self::Length,
            End::Error => Self::Error,
        }
    }
}

/// Incremental parser and validator of one response.
#[derive(Debug)]
pub struct ResponseValidator {
    request: String,
    buffer: Vec<u8>,
    lines: u64,
    tokens: u64,
    end: Option<ModelEnd>,
}

impl ResponseValidator {
    /// Creates a validator for the response to a request.
    #[must_use]
    pub fn new(request: String) -> Self {
        Self { request, buffer: Vec::new(), lines: 0, tokens: 0, end: None }
    }

    /// Parses the next bytes and appends the events of completed lines to `events`. The end line is not
    /// an event; see [`ResponseValidator::finish`].
    ///
    /// # Errors
    /// [`InvalidResponse`]; `events` holds the events of the valid lines before the error.
    pub fn push(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<ModelEvent>,
    ) -> Result<(), InvalidResponse> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let rest = self.buffer.split_off(end + 1);
            let line = std::mem::replace(&mut self.buffer, rest);
            events.extend(self.parse_line(&line[..end])?);
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(InvalidResponse::MalformedLine("line too long".to_owned()));
        }
        Ok(())
    }

    /// Completes the validation at the end of the body and returns how the generation ended.
    ///
    /// # Errors
    /// [`InvalidResponse`] when the end line is missing or data follows it.
    pub fn finish(&self) -> Result<ModelEnd, InvalidResponse> {
        if !self.buffer.is_empty() {
            return Err(if self.end.is_some() {
                InvalidResponse::DataAfterEnd
            } else {
                InvalidResponse::Truncated
            });
        }
        self.end.ok_or(InvalidResponse::Truncated)
    }

    /// Whether the end line has been received.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    fn parse_line(&mut self, bytes: &[u8]) -> Result<Option<ModelEvent>, InvalidResponse> {
        if self.end.is_some() {
            return Err(InvalidResponse::DataAfterEnd);
        }
        let line: Line<'_> = serde_json::from_slice(bytes)
            .map_err(|e| InvalidResponse::MalformedLine(e.to_string()))?;
        if line.request != self.request {
            return Err(InvalidResponse::WrongRequest { found: line.request });
        }
        if line.seq != self.lines + 1 {
            return Err(InvalidResponse::OutOfOrder { expected: self.lines + 1, found: line.seq });
        }
        let event = self.event_of(line)?;
        if event.is_some() {
            self.lines += 1;
        }
        Ok(event)
    }

    /// Converts a line to an event; `None` for the end line.
    fn event_of(&mut self, line: Line<'_>) -> Result<Option<ModelEvent>, InvalidResponse> {
        match line {
            Line { text: Some(text), tokens: Some(tokens), tool: None, end: None, .. } => {
                self.tokens = self.tokens.saturating_add(tokens);
                Ok(Some(ModelEvent::Text { text, tokens: TokenCount(tokens) }))
            }
            Line { tool: Some(request), text: None, end: None, .. } => {
                let arguments = request.arguments.get().to_owned();
                Ok(Some(ModelEvent::Tool { tool: request.name, arguments }))
            }
            Line { end: Some(end), text: None, tool: None, tokens_total, events, .. } => {
                if tokens_total != Some(self.tokens) || events != Some(self.lines) {
                    return Err(InvalidResponse::CountMismatch);
                }
                self.end = Some(end.into());
                Ok(None)
            }
            _ => Err(InvalidResponse::MalformedLine(
                "line is neither text, tool request nor end".to_owned(),
            )),
        }
    }
}
