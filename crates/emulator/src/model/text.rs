//! Deterministic text of a generation. It depends only on the seed and the complete context, never
//! on the state of the cache.

use serde::{Deserialize, Serialize};

const WORDS: [&str; 32] = [
    "vent", "heat", "the", "house", "before", "dawn", "frost", "is", "near", "check", "valve",
    "seven", "and", "sensor", "four", "then", "open", "roof", "by", "ten", "percent", "hold",
    "humidity", "below", "eighty", "wait", "for", "wind", "to", "drop", "or", "ask",
];
/// Range of the length of a response, in tokens, if the input does not request one.
const DEFAULT_LENGTHS: std::ops::Range<u64> = 8..33;

/// An item of the context.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContextItem {
    /// `user`, `assistant` or `tool`.
    pub role: String,
    /// Text of the item.
    pub text: String,
}

/// Content of a response, computed before the first token is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedResponse {
    /// Tokens, one word each.
    pub tokens: Vec<String>,
    /// Tool to request after the first token.
    pub tool: Option<String>,
    /// Whether the response is truncated by the token limit.
    pub limited: bool,
}

/// Computes the response to an input after a context.
///
/// `[tokens N]` in the input sets the number of tokens, `[tool NAME]` requests a tool call.
#[must_use]
pub fn plan_response(
    seed: u64,
    context: &[ContextItem],
    input: &str,
    max_tokens: u64,
) -> PlannedResponse {
    let mut words = WordSource::new(seed, context, input);
    let drawn_length =
        DEFAULT_LENGTHS.start + words.next_u64() % (DEFAULT_LENGTHS.end - DEFAULT_LENGTHS.start);
    let requested = directive(input, "tokens").and_then(|n| n.parse().ok());
    let length = requested.unwrap_or(drawn_length);
    let tokens = (0..length.min(max_tokens)).map(|_| words.word()).collect();
    let tool = directive(input, "tool").map(str::to_owned);
    PlannedResponse { tokens, tool, limited: length > max_tokens }
}

/// Counts the tokens of a text: one per word.
#[must_use]
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

fn directive<'a>(input: &'a str, name: &str) -> Option<&'a str> {
    let rest = input.split_once(&format!("[{name} "))?.1;
    rest.split_once(']').map(|(value, _)| value.trim())
}

struct WordSource {
    bytes: blake3::OutputReader,
}

impl WordSource {
    fn new(seed: u64, context: &[ContextItem], input: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&seed.to_le_bytes());
        for item in context {
            for part in [&item.role, &item.text] {
                hasher.update(&(part.len() as u64).to_le_bytes());
                hasher.update(part.as_bytes());
            }
        }
        hasher.update(input.as_bytes());
        Self { bytes: hasher.finalize_xof() }
    }

    fn next_u64(&mut self) -> u64 {
        let mut bytes = [0; 8];
        self.bytes.fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    fn word(&mut self) -> String {
        let index = self.next_u64() % WORDS.len() as u64;
        format!("{} ", WORDS[index as usize])
    }
}
