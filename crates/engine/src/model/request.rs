//! The request body of `POST /generate`.

use hooklug_session::GenerationRequest;
use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{PrefixId, TurnId};
use serde::Serialize;

/// Author of an entry of the context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ContextRole {
    /// The agent program.
    User,
    /// The model server.
    Assistant,
    /// A tool, with its result.
    Tool,
}

/// One entry of the context.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ContextEntry {
    role: ContextRole,
    text: String,
}

/// The request body of `POST /generate`.
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
    /// Builds the body of a generation request.
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

/// Converts a session's history to the context format of the model server; adjacent assistant
/// entries are joined.
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
