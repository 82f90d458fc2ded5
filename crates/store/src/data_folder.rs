//! A store's data folder: the node id, the cluster membership, the known stores, and a lock.
//!
//! The node id is bound to the folder: a store that starts on an empty disk is a new node and never
//! acts as the old one.

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

/// Version of the layout of log entries and snapshots in a data folder, incremented whenever an
/// older build would misread them. Version 2: one entry may hold several commands, and events of
/// sessions are stored in chunks. Version 3: shards store chained programs, and the meta group
/// stores rollouts.
pub const DATA_FORMAT: u32 = 4;

/// Node id and data format of a folder. The format must remain the first field, so that every build
/// can read it.
#[derive(Debug, Serialize, Deserialize)]
struct Identity {
    format: u32,
    node: NodeId,
}

/// Relation of a store to a cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Membership {
    /// The store has never been a member of a cluster.
    #[default]
    Empty,
    /// The store has promised to take part in a formation plan. It takes part in no other plan
    /// until the coordinator drops this one.
    Promised(FormationPlan),
    /// The store is a member of a cluster, permanently.
    Member {
        /// Id of the cluster.
        cluster: u64,
        /// Formation plan of the cluster, until this store has carried out its part of it.
        plan: Option<FormationPlan>,
    },
}

impl Membership {
    /// Returns the id of the cluster, or 0 while the store is not a member of one.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        match self {
            Self::Member { cluster, .. } => *cluster,
            Self::Empty | Self::Promised(_) => 0,
        }
    }
}

/// Returns the node id of a data folder. For an empty folder, generates a random id and syncs it to
/// disk.
///
/// # Errors
/// Fails, without changing the folder, if it cannot be used, contains a log without a node id, or
/// has another [`DATA_FORMAT`].
pub fn load_node_id(data_folder: &Path) -> Result<NodeId, StoreError> {
    let files = OsFiles;
    create_folder(&files, data_folder)?;
    let path = data_folder.join(IDENTITY_FILE);
    if let Some(Identity { format, node }) = load(&files, &path)? {
        if format != DATA_FORMAT {
            return Err(StoreError::FormatMismatch { folder: data_folder.to_owned(), format });
        }
        return Ok(node);
    }
    if data_folder.join(GROUPS_FOLDER).exists() {
        let reason =
            "missing, but the folder contains a log; builds before data format 2 did not write it";
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
        create_folder(files.as_ref(), folder)?;
        let path = folder.join(LOCK_FILE);
        let lock =
            File::create(&path).map_err(|e| StoreError::Damaged { path, reason: e.to_string() })?;
        if lock.try_lock().is_err() {
            return Err(StoreError::FolderInUse { folder: folder.to_owned() });
        }
        Ok(Self { folder: folder.to_owned(), files, lock })
    }

    /// Returns the folder of the groups' log and snapshots.
    pub(crate) fn groups(&self) -> PathBuf {
        self.folder.join(GROUPS_FOLDER)
    }

    /// Releases the lock, so that another process can open the folder.
    pub(crate) fn unlock(&self) {
        // On an error, the operating system releases the lock when the process exits.
        let _ = self.lock.unlock();
    }

    pub(crate) fn files(&self) -> Arc<dyn Files> {
        self.files.clone()
    }

    /// Reads the last saved list of the cluster's stores. Returns an empty list if it cannot be
    /// read, since the stores can be discovered again.
    pub(crate) fn known_stores(&self) -> Vec<StoreRecord> {
        let path = self.folder.join(STORES_FILE);
        load(self.files.as_ref(), &path).ok().flatten().unwrap_or_default()
    }

    /// Saves the list of the cluster's stores, so that after a loss of power of all machines they
    /// can find each other before any group has a leader.
    pub(crate) fn save_stores(&self, stores: &[StoreRecord]) -> Result<(), StoreError> {
        save(self.files.as_ref(), &self.folder.join(STORES_FILE), &stores)
    }

    /// Reads the cluster membership.
    pub(crate) fn membership(&self) -> Result<Membership, StoreError> {
        let path = self.folder.join(MEMBERSHIP_FILE);
        Ok(load(self.files.as_ref(), &path)?.unwrap_or_default())
    }

    /// Replaces the cluster membership; the new one is durable when this returns.
    pub(crate) fn set_membership(&self, membership: &Membership) -> Result<(), StoreError> {
        save(self.files.as_ref(), &self.folder.join(MEMBERSHIP_FILE), membership)
    }
}

fn create_folder(files: &dyn Files, folder: &Path) -> Result<(), StoreError> {
    let to_error =
        |e: std::io::Error| StoreError::Damaged { path: folder.to_owned(), reason: e.to_string() };
    files.create_folder(folder).map_err(to_error)
}

fn save<T: Serialize>(files: &dyn Files, path: &Path, value: &T) -> Result<(), StoreError> {
    let mut bytes = vec![0_u8; CHECKSUM_BYTES];
    bytes.extend(hooklug_state::encode(value));
    let checksum = crc32fast::hash(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
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
    let (checksum, body) = bytes
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or_else(|| damaged("the file is truncated".to_owned()))?;
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return Err(damaged("checksum mismatch".to_owned()));
    }
    hooklug_state::decode("file", body).map(Some).map_err(|e| damaged(e.to_string()))
}
