//! Reads the platform's list of engines from an HTTP endpoint or a file. The list lags, and may
//! name addresses that are no longer used or were reused (docs/BACKENDS.md).

use std::net::SocketAddr;
use std::path::PathBuf;

use hooklug_types::ZoneName;
use serde::Deserialize;

use super::probe::{HttpError, get};

/// Source of the list.
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
    /// The address at which it listens or listened.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

#[derive(Debug, Deserialize)]
struct List {
    engines: Vec<ListedEngine>,
}

/// Error while reading the list; the last list read stays in use.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The endpoint gave no usable response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The content is not a valid list.
    #[error("cannot decode the platform's list: {0}")]
    Decode(#[from] serde_json::Error),
}

impl ListSource {
    /// Parses the setting: `http://ip:port/path`, or the path of a file. The settings are
    /// validated, so an endpoint always has an address.
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
    /// [`ListError`] if the list cannot be read or decoded.
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
