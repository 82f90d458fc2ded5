//! A store's data folder: the node id, what the store is to the cluster, and a lock.
//!
//! The node id lives and dies with the folder: an empty disk is a new node and never answers for the
//! old one.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use hooklug_protocol::store::FormationPlan;
use hooklug_state::meta::StoreRecord;
use hooklug_types::NodeId;
use hooklug_wal::{Files, OsFiles, WalError, replace_file};
use rand::RngExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::StoreError;

const IDENTITY_FILE: &str = "identity";
const MEMBERSHIP_FILE: &str = "membership";
const STORES_FILE: &str = "stores";
const LOCK_FILE: &str = "lock";
const GROUPS_FOLDER: &str = "groups";
const CHECKSUM_BYTES: usize = 4;

/// Layout of log entries and snapshots in a data folder; moves on whenever an older build would misread them.
/// 2: entries hold joined commands, sessions' events lie in chunks. 3: shards hold chained programs, meta roll-outs.
pub const DATA_FORMAT: u32 = 4;

/// Whose a folder is, and how it is to be read. The format comes first in every build to come.
#[derive(Debug, Serialize, Deserialize)]
struct Identity {
    format: u32,
    node: NodeId,
}

/// What a store is to a cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Membership {
    /// Never a member of any.
    #[default]
    Empty,
    /// Has promised to take part in a plan; takes part in no other until its coordinator drops it.
    Promised(FormationPlan),
    /// A member, for ever.
    Member {
        /// The cluster.
        cluster: u64,
        /// The plan it began with, until all that it asks of this store is done.
        plan: Option<FormationPlan>,
    },
}

impl Membership {
    /// The cluster's id; 0 while the store is a member of none.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        match self {
            Self::Member { cluster, .. } => *cluster,
            Self::Empty | Self::Promised(_) => 0,
        }
    }
}

/// The node id of a data folder. Drawn at random and synced when the folder is empty.
///
/// # Errors
/// When the folder cannot be used, holds a log without a node id, or is of another [`DATA_FORMAT`]. Nothing in
/// it is changed then.
pub fn load_node_id(data_folder: &Path) -> Result<NodeId, StoreError> {
    let files = OsFiles;
    make_folder(&files, data_folder)?;
    let path = data_folder.join(IDENTITY_FILE);
    if let Some(Identity { format, node }) = load(&files, &path)? {
        if format != DATA_FORMAT {
            return Err(StoreError::OtherFormat { folder: data_folder.to_owned(), format });
        }
        return Ok(node);
    }
    if data_folder.join(GROUPS_FOLDER).exists() {
        let reason =
            "it is missing, though the folder holds a log; builds before data format 2 wrote none";
        return Err(StoreError::Damaged { path, reason: reason.to_owned() });
    }
    let node = NodeId(rand::rng().random_range(1..=u64::MAX));
    save(&files, &path, &Identity { format: DATA_FORMAT, node })?;
    Ok(node)
}

/// A locked data folder.
#[derive(Debug)]
pub(crate) struct DataFolder {
    folder: PathBuf,
    files: Arc<dyn Files>,
    lock: File,
}

impl DataFolder {
    /// Opens and locks a folder.
    pub(crate) fn open(folder: &Path, files: Arc<dyn Files>) -> Result<Self, StoreError> {
        make_folder(files.as_ref(), folder)?;
        let path = folder.join(LOCK_FILE);
        let lock =
            File::create(&path).map_err(|e| StoreError::Damaged { path, reason: e.to_string() })?;
        if lock.try_lock().is_err() {
            return Err(StoreError::FolderInUse { folder: folder.to_owned() });
        }
        Ok(Self { folder: folder.to_owned(), files, lock })
    }

    /// Where the groups' log and snapshots live.
    pub(crate) fn groups(&self) -> PathBuf {
        self.folder.join(GROUPS_FOLDER)
    }

    /// Lets the folder go, for the next process.
    pub(crate) fn unlock(&self) {
        // The lock ends with the process at the latest.
        let _ = self.lock.unlock();
    }

    pub(crate) fn files(&self) -> Arc<dyn Files> {
        self.files.clone()
    }

    /// The cluster's stores as last known here; none when that cannot be read, since they can be learnt again.
    pub(crate) fn known_stores(&self) -> Vec<StoreRecord> {
        let path = self.folder.join(STORES_FILE);
        load(self.files.as_ref(), &path).ok().flatten().unwrap_or_default()
    }

    /// Notes the cluster's stores, so that after a loss of all power they find each other before any group has a
    /// leader to tell them.
    pub(crate) fn note_stores(&self, stores: &[StoreRecord]) -> Result<(), StoreError> {
        save(self.files.as_ref(), &self.folder.join(STORES_FILE), &stores)
    }

    /// What the store is to the cluster.
    pub(crate) fn membership(&self) -> Result<Membership, StoreError> {
        let path = self.folder.join(MEMBERSHIP_FILE);
        Ok(load(self.files.as_ref(), &path)?.unwrap_or_default())
    }

    /// Replaces it; durable when this returns.
    pub(crate) fn set_membership(&self, membership: &Membership) -> Result<(), StoreError> {
        save(self.files.as_ref(), &self.folder.join(MEMBERSHIP_FILE), membership)
    }
}

fn make_folder(files: &dyn Files, folder: &Path) -> Result<(), StoreError> {
    let refused =
        |e: std::io::Error| StoreError::Damaged { path: folder.to_owned(), reason: e.to_string() };
    files.create_folder(folder).map_err(refused)
}

fn save<T: Serialize>(files: &dyn Files, path: &Path, value: &T) -> Result<(), StoreError> {
    let mut bytes = vec![0_u8; CHECKSUM_BYTES];
    bytes.extend(hooklug_state::encode(value));
    let sum = crc32fast::hash(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&sum.to_le_bytes());
    Ok(replace_file(files, path, &bytes)?)
}

fn load<T: DeserializeOwned>(files: &dyn Files, path: &Path) -> Result<Option<T>, StoreError> {
    let bytes = match files.read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => {
            let reason = error.to_string();
            let path = path.to_owned();
            return Err(WalError::Io { operation: "read", path, reason }.into());
        }
    };
    let damaged = |reason: String| StoreError::Damaged { path: path.to_owned(), reason };
    let (sum, body) = bytes
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or_else(|| damaged("the file is cut short".to_owned()))?;
    if crc32fast::hash(body).to_le_bytes() != sum {
        return Err(damaged("the checksum differs".to_owned()));
    }
    hooklug_state::decode("file", body).map(Some).map_err(|e| damaged(e.to_string()))
}
