//! Checks the lines of a generation's answer. Pure: bytes in, events out.

use hooklug_session::{ModelEnd, ModelEvent};
use hooklug_types::TokenCount;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Longest line accepted, in bytes (ours).
const LINE_BYTES: usize = 1 << 20;

/// Why an answer is not one.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Garbled {
    /// A line is too long or is no JSON object of the contract.
    #[error("a line is not by the contract: {0}")]
    Line(String),
    /// A line belongs to another request.
    #[error("a line belongs to request {found}")]
    Crossed {
        /// The request that it names.
        found: String,
    },
    /// A line was lost, repeated or reordered.
    #[error("line {found} where {expected} was due")]
    Sequence {
        /// The line that was due.
        expected: u64,
        /// The line that came.
        found: u64,
    },
    /// The end line does not count what came.
    #[error("the end line counts other lines or tokens")]
    Counts,
    /// Something follows the end line.
    #[error("something follows the end line")]
    AfterEnd,
    /// The answer stops before its end line.
    #[error("the answer was cut short")]
    CutShort,
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
    tool: Option<ToolWish<'a>>,
    #[serde(default)]
    end: Option<End>,
    #[serde(default)]
    tokens_total: Option<u64>,
    #[serde(default)]
    events: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ToolWish<'a> {
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

/// The check of one answer.
#[derive(Debug)]
pub struct AnswerCheck {
    request: String,
    unread: Vec<u8>,
    lines: u64,
    tokens: u64,
    end: Option<ModelEnd>,
}

impl AnswerCheck {
    /// A check of the answer to a request.
    #[must_use]
    pub fn new(request: String) -> Self {
        Self { request, unread: Vec::new(), lines: 0, tokens: 0, end: None }
    }

    /// Takes the next bytes; returns the events of the lines that they complete. The end is not among
    /// them: see [`AnswerCheck::finish`].
    ///
    /// # Errors
    /// [`Garbled`]; events of sound lines before it are in `events`.
    pub fn take(&mut self, bytes: &[u8], events: &mut Vec<ModelEvent>) -> Result<(), Garbled> {
        self.unread.extend_from_slice(bytes);
        while let Some(end) = self.unread.iter().position(|b| *b == b'\n') {
            let rest = self.unread.split_off(end + 1);
            let line = std::mem::replace(&mut self.unread, rest);
            events.extend(self.line(&line[..end])?);
        }
        if self.unread.len() > LINE_BYTES {
            return Err(Garbled::Line("too long".to_owned()));
        }
        Ok(())
    }

    /// The body is over: how the answer ended.
    ///
    /// # Errors
    /// [`Garbled`] when there was no end line, or something after it.
    pub fn finish(&self) -> Result<ModelEnd, Garbled> {
        if !self.unread.is_empty() {
            return Err(if self.end.is_some() { Garbled::AfterEnd } else { Garbled::CutShort });
        }
        self.end.ok_or(Garbled::CutShort)
    }

    /// Whether the end line has come.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    fn line(&mut self, bytes: &[u8]) -> Result<Option<ModelEvent>, Garbled> {
        if self.end.is_some() {
            return Err(Garbled::AfterEnd);
        }
        let line: Line<'_> =
            serde_json::from_slice(bytes).map_err(|e| Garbled::Line(e.to_string()))?;
        if line.request != self.request {
            return Err(Garbled::Crossed { found: line.request });
        }
        if line.seq != self.lines + 1 {
            return Err(Garbled::Sequence { expected: self.lines + 1, found: line.seq });
        }
        let event = self.meaning(line)?;
        if event.is_some() {
            self.lines += 1;
        }
        Ok(event)
    }

    /// The event of a line; `None` for the end line.
    fn meaning(&mut self, line: Line<'_>) -> Result<Option<ModelEvent>, Garbled> {
        match line {
            Line { text: Some(text), tokens: Some(tokens), tool: None, end: None, .. } => {
                self.tokens = self.tokens.saturating_add(tokens);
                Ok(Some(ModelEvent::Text { text, tokens: TokenCount(tokens) }))
            }
            Line { tool: Some(wish), text: None, end: None, .. } => {
                let arguments = wish.arguments.get().to_owned();
                Ok(Some(ModelEvent::Tool { tool: wish.name, arguments }))
            }
            Line { end: Some(end), text: None, tool: None, tokens_total, events, .. } => {
                if tokens_total != Some(self.tokens) || events != Some(self.lines) {
                    return Err(Garbled::Counts);
                }
                self.end = Some(end.into());
                Ok(None)
            }
            _ => Err(Garbled::Line("neither text, tool nor end".to_owned())),
        }
    }
}
