//! Names of a fleet's processes: a kind and a number, written `store:1`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessKind {
    /// `hooklug store`.
    Store,
    /// `hooklug core`.
    Core,
    /// `hooklug engine`.
    Engine,
    /// `hooklug gateway`.
    Gateway,
    /// Stand-in of a model server.
    Model,
    /// Stand-in of an application engine.
    App,
    /// Stand-in of the platform's list.
    Platform,
}

impl ProcessKind {
    const ALL: [(Self, &'static str); 7] = [
        (Self::Store, "store"),
        (Self::Core, "core"),
        (Self::Engine, "engine"),
        (Self::Gateway, "gateway"),
        (Self::Model, "model"),
        (Self::App, "app"),
        (Self::Platform, "platform"),
    ];

    /// Its word.
    #[must_use]
    pub fn word(self) -> &'static str {
        Self::ALL.iter().find(|(kind, _)| *kind == self).map_or("", |(_, word)| word)
    }

    /// Whether it is a hooklug process, not a stand-in.
    #[must_use]
    pub fn is_node(self) -> bool {
        matches!(self, Self::Store | Self::Core | Self::Engine | Self::Gateway)
    }
}

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessName {
    /// What it is.
    pub kind: ProcessKind,
    /// Its number among its kind, from 0.
    pub index: usize,
}

impl ProcessName {
    /// A name.
    #[must_use]
    pub fn new(kind: ProcessKind, index: usize) -> Self {
        Self { kind, index }
    }

    /// The name as one word, for files and engine ids.
    #[must_use]
    pub fn word(self) -> String {
        format!("{}-{}", self.kind.word(), self.index)
    }
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind.word(), self.index)
    }
}

/// A text that names no process.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} names no process; expected a kind and a number, such as store:1")]
pub struct NameError(String);

impl FromStr for ProcessName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let error = || NameError(text.to_owned());
        let (word, index) = text.split_once(':').ok_or_else(error)?;
        let (kind, _) =
            ProcessKind::ALL.iter().find(|(_, known)| *known == word).ok_or_else(error)?;
        Ok(Self { kind: *kind, index: index.parse().map_err(|_| error())? })
    }
}

impl Serialize for ProcessName {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ProcessName {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}
