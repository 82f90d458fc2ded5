//! Reads the platform's list of engines: an HTTP endpoint or a file. It lags, and may name dead or reused
//! addresses (docs/BACKENDS.md).

use std::net::SocketAddr;
use std::path::PathBuf;

use hooklug_types::ZoneName;
use serde::Deserialize;

use super::probe::{HttpError, get};

/// Where the list is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListSource {
    /// An HTTP endpoint.
    Endpoint {
        /// Its address.
        address: SocketAddr,
        /// Path and query.
        path: String,
    },
    /// A file.
    File(PathBuf),
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedEngine {
    /// Where it listens, or listened.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

#[derive(Debug, Deserialize)]
struct List {
    engines: Vec<ListedEngine>,
}

/// Why the list could not be read; the last one read stays in use.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's words.
        source: std::io::Error,
    },
    /// The endpoint does not answer as it should.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The content is no list.
    #[error("the list does not decode: {0}")]
    Decode(#[from] serde_json::Error),
}

impl ListSource {
    /// Reads the setting: `http://ip:port/path`, or a file's path. The settings are checked, so an
    /// endpoint always has an address.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let endpoint = text.strip_prefix("http://").and_then(|rest| {
            let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
            Some(Self::Endpoint { address: host.parse().ok()?, path: format!("/{path}") })
        });
        endpoint.unwrap_or_else(|| Self::File(PathBuf::from(text)))
    }

    /// Reads the list.
    ///
    /// # Errors
    /// [`ListError`].
    pub async fn read(&self) -> Result<Vec<ListedEngine>, ListError> {
        let bytes = match self {
            Self::Endpoint { address, path } => get(*address, path).await?.to_vec(),
            Self::File(path) => tokio::fs::read(path)
                .await
                .map_err(|source| ListError::File { path: path.clone(), source })?,
        };
        let list: List = serde_json::from_slice(&bytes)?;
        Ok(list.engines)
    }
}
