//! Names of a fleet's processes: a kind and an index, written as `store:1`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind of a process.
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
    /// Fake model server.
    Model,
    /// Fake application engine.
    App,
    /// Fake of the platform's engine list.
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

    /// The kind as it is written in process names.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        Self::ALL.iter().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// Whether it is a hooklug process rather than a fake.
    #[must_use]
    pub fn is_node(self) -> bool {
        matches!(self, Self::Store | Self::Core | Self::Engine | Self::Gateway)
    }
}

/// Name of a process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessName {
    /// Kind of the process.
    pub kind: ProcessKind,
    /// Index among the processes of its kind, from 0.
    pub index: usize,
}

impl ProcessName {
    /// Creates a name from a kind and an index.
    #[must_use]
    pub fn new(kind: ProcessKind, index: usize) -> Self {
        Self { kind, index }
    }

    /// The name with a hyphen, such as `store-1`, for files and engine ids.
    #[must_use]
    pub fn id(self) -> String {
        format!("{}-{}", self.kind.as_str(), self.index)
    }
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind.as_str(), self.index)
    }
}

/// Error of parsing a process name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a process name; expected a kind and an index, such as store:1")]
pub struct NameError(String);

impl FromStr for ProcessName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let error = || NameError(text.to_owned());
        let (kind_name, index) = text.split_once(':').ok_or_else(error)?;
        let (kind, _) =
            ProcessKind::ALL.iter().find(|(_, name)| *name == kind_name).ok_or_else(error)?;
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
