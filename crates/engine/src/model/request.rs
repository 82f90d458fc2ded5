//! The body of `POST /generate`.

use hooklug_session::GenerationRequest;
use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{PrefixId, TurnId};
use serde::Serialize;

/// Who said something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ContextRole {
    /// The program.
    User,
    /// The model.
    Assistant,
    /// A tool.
    Tool,
}

/// One entry of the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ContextEntry {
    role: ContextRole,
    text: String,
}

/// The body of `POST /generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GenerateBody<'a> {
    session: String,
    turn: &'a TurnId,
    prefix: Option<&'a PrefixId>,
    max_tokens: u64,
    context: Vec<ContextEntry>,
    input: &'a str,
}

impl<'a> GenerateBody<'a> {
    /// The body for a generation.
    #[must_use]
    pub fn new(request: &'a GenerationRequest) -> Self {
        Self {
            session: request.key.to_string(),
            turn: &request.turn,
            prefix: request.prefix.as_ref(),
            max_tokens: request.max_tokens.0,
            context: context_of(&request.history),
            input: &request.input,
        }
    }
}

/// The history as the model server takes it: neighbouring pieces of one answer are joined.
#[must_use]
pub fn context_of(history: &[Event]) -> Vec<ContextEntry> {
    let mut context: Vec<ContextEntry> = Vec::new();
    for event in history {
        let (role, text) = match &event.body {
            EventBody::TurnStarted { input, .. } => (ContextRole::User, input.clone()),
            EventBody::Tokens { text, .. } => (ContextRole::Assistant, text.clone()),
            EventBody::ToolRequested { tool, arguments } => {
                let name = serde_json::Value::from(tool.as_str());
                let text = format!(r#"{{"tool":{{"name":{name},"arguments":{arguments}}}}}"#);
                (ContextRole::Assistant, text)
            }
            EventBody::ToolResult { result, .. } => (ContextRole::Tool, result.clone()),
            EventBody::TurnEnded { .. } | EventBody::Closed => continue,
        };
        match context.last_mut() {
            Some(last) if last.role == role && role == ContextRole::Assistant => {
                last.text.push_str(&text);
            }
            _ => context.push(ContextEntry { role, text }),
        }
    }
    context
}
