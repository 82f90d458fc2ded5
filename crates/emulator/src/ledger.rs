//! Ledger of a fake backend: a record of the requests that it ran, against which tests check the
//! results that callers see.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use hooklug_types::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::identity::Identity;

/// Event in a ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum LedgerEntry {
    /// The process was started, or restarted in place.
    Started,
    /// An application engine started to run a call; recorded before the response is sent.
    CallRan {
        /// `program/call`; empty if the request has none.
        call: String,
        /// Id of the attempt; empty if the request has none.
        attempt: String,
        /// Name of the tool.
        tool: String,
        /// Request id.
        request: String,
        /// Number of runs of this call in this incarnation, including this one.
        times: u32,
    },
    /// An application engine refused a call explicitly, without running it.
    Refused {
        /// `program/call`; empty if the request has none.
        call: String,
        /// `draining`, `overloaded` or `identity`.
        reason: String,
    },
    /// A model server started a generation.
    GenerationBegan {
        /// Request id.
        request: String,
        /// `program/session`.
        session: String,
        /// Name of the turn.
        turn: String,
        /// Shared prefix, if the session has one.
        prefix: Option<String>,
        /// Whether the prefix was in the cache.
        prefix_hit: bool,
        /// Tokens of context and input that were not in the cache.
        uncached_tokens: u64,
    },
    /// A generation ended, or its client disconnected.
    GenerationEnded {
        /// Request id.
        request: String,
        /// `program/session`.
        session: String,
        /// Name of the turn.
        turn: String,
        /// Text generated.
        text: String,
        /// Number of tokens in the text.
        tokens: u64,
        /// `stop`, `length`, `aborted`, or `crossed` if the response to another request was sent.
        end: String,
    },
}

/// An entry of the ledger with its time and the identity of the backend.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// Time of the event.
    pub at: UnixMillis,
    /// Identity, as `service/engine/incarnation`.
    pub identity: String,
    /// Version that the backend ran.
    pub version: String,
    /// The event.
    #[serde(flatten)]
    pub entry: LedgerEntry,
}

/// Ledger in memory and, optionally, in a file that outlives the process.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Lines>,
}

#[derive(Debug, Default)]
struct Lines {
    lines: Vec<LedgerLine>,
    file: Option<File>,
}

impl Ledger {
    /// Creates an empty ledger. With a path, lines are also appended to that file.
    ///
    /// # Errors
    /// When the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?;
        Ok(Self { inner: Mutex::new(Lines { lines: Vec::new(), file }) })
    }

    /// Appends a line. The write to the file completes before this returns, so that the line
    /// survives `kill -9`.
    pub(crate) fn add(&self, identity: &Identity, entry: LedgerEntry) {
        let line = LedgerLine {
            at: UnixMillis::now(),
            identity: identity.to_string(),
            version: identity.version.to_string(),
            entry,
        };
        let mut inner = self.lock();
        if let Some(file) = &mut inner.file {
            let mut text = serde_json::to_vec(&line).unwrap_or_default();
            text.push(b'\n');
            if let Err(error) = file.write_all(&text) {
                tracing::error!(%error, "cannot append to the ledger file");
            }
        }
        inner.lines.push(line);
    }

    /// All lines in memory.
    #[must_use]
    pub fn lines(&self) -> Vec<LedgerLine> {
        self.lock().lines.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Lines> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
