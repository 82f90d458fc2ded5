//! What a stand-in really ran: the evidence that tests check promises against.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use hooklug_types::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::identity::Identity;

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum LedgerEntry {
    /// The process began, or was restarted in place.
    Started,
    /// An application engine ran a call; written before the answer goes out.
    CallRan {
        /// `program/call`; empty when the request named none.
        call: String,
        /// The attempt; empty when the request named none.
        attempt: String,
        /// The tool.
        tool: String,
        /// Id of the request.
        request: String,
        /// How often this process has run this call, this time included.
        times: u32,
    },
    /// An application engine refused a call explicitly; it did not run.
    Refused {
        /// `program/call`; empty when the request named none.
        call: String,
        /// `draining`, `overloaded` or `identity`.
        reason: String,
    },
    /// A model server began a generation.
    GenerationBegan {
        /// Id of the request.
        request: String,
        /// `program/session`.
        session: String,
        /// The turn.
        turn: String,
        /// The shared prefix.
        prefix: Option<String>,
        /// Whether the prefix was in the cache.
        prefix_hit: bool,
        /// Tokens of context and input that were not in the cache.
        uncached_tokens: u64,
    },
    /// A model server ended a generation, or its reader went away.
    GenerationEnded {
        /// Id of the request.
        request: String,
        /// `program/session`.
        session: String,
        /// The turn.
        turn: String,
        /// All text that it made.
        text: String,
        /// Tokens in it.
        tokens: u64,
        /// `stop`, `length`, `aborted`, or `crossed` when another request's lines went out.
        end: String,
    },
}

/// One line: what happened, when and under which identity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// When.
    pub at: UnixMillis,
    /// `service/engine/incarnation`.
    pub identity: String,
    /// Version in force.
    pub version: String,
    /// What.
    #[serde(flatten)]
    pub entry: LedgerEntry,
}

/// All lines, in memory and, where asked for, in a file that outlives the process.
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
    /// An empty ledger; with a path, lines are also added to that file.
    ///
    /// # Errors
    /// When the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?;
        Ok(Self { inner: Mutex::new(Lines { lines: Vec::new(), file }) })
    }

    /// Adds a line. It is with the operating system before this returns, so it survives `kill -9`.
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
                tracing::error!(%error, "cannot write the ledger");
            }
        }
        inner.lines.push(line);
    }

    /// All lines so far.
    #[must_use]
    pub fn lines(&self) -> Vec<LedgerLine> {
        self.lock().lines.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Lines> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
