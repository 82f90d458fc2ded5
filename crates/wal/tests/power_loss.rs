//! Losses of power while segments are sealed and removed: the log opens with every acknowledged record,
//! whichever of the removals are kept.

#[path = "support/model_files.rs"]
mod model_files;
mod support;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use hooklug_wal::{GroupRecord, Recovered, Wal, WalError};
use model_files::{Disk, ModelFiles};
use support::{append, hard_state, open, open_with, replayed, snapshot, write};

const FOLDER: &str = "log";
const SEGMENT_BYTES: u64 = 200;

/// Records of two groups that fill segments; snapshots make several of them removable at once.
fn records() -> Vec<GroupRecord> {
    let mut records = Vec::new();
    for round in 0..3 {
        let first = round * 12 + 1;
        for index in first..first + 12 {
            records.push(append(1, index..=index, 1));
            if index % 4 == 0 {
                records.push(append(2, index / 4..=index / 4, 1));
            }
        }
        records.push(hard_state(1, 1, first + 10));
        records.push(snapshot(1, first + 10, 1));
        records.push(snapshot(2, (first + 10) / 4, 1));
    }
    records
}

fn open_model(files: &ModelFiles) -> Result<(Wal, Recovered), WalError> {
    open_with(Arc::new(files.clone()), Path::new(FOLDER), SEGMENT_BYTES)
}

/// A state of the disk, with the number of records that were acknowledged by then.
struct Moment {
    disk: Disk,
    acknowledged: usize,
}

/// Every state of the disk while the records are written.
fn moments(records: &[GroupRecord]) -> Vec<Moment> {
    let files = ModelFiles::recording();
    let (wal, _) = open_model(&files).expect("an empty log");
    // Number of states that were recorded before each acknowledgement.
    let mut acknowledged = Vec::new();
    for record in records {
        write(&wal, vec![record.clone()]).expect("no failure");
        acknowledged.push(files.recorded());
    }
    wal.close();
    let number = |state| acknowledged.iter().filter(|recorded| **recorded <= state).count();
    let history = files.history().into_iter().enumerate();
    history.map(|(state, disk)| Moment { disk, acknowledged: number(state) }).collect()
}

/// Opens a log after a loss of power, and again after another one in which nothing more is kept.
fn assert_recovers(moment: &Moment, kept: usize, records: &[GroupRecord]) {
    let case = format!("{} records acknowledged, kept {kept:b}", moment.acknowledged);
    let files = ModelFiles::new(moment.disk.after_power_loss(kept));
    let (wal, recovered) = open_model(&files).unwrap_or_else(|error| panic!("{case}: {error}"));
    let possible = (moment.acknowledged..=records.len()).find(|count| {
        // Groups without records are not recovered.
        replayed(&records[..*count]) == recovered.groups
    });
    assert!(possible.is_some(), "{case}: {:?}", recovered.groups);
    wal.close();
    let (wal, again) = open_model(&files).unwrap_or_else(|error| panic!("{case}: {error}"));
    assert_eq!(again.groups, recovered.groups, "{case}");
    wal.close();
}

/// Guards against a log that never opens again: removals of segments are kept or lost one by one, and an
/// older segment comes back while a newer one does not.
#[test]
fn the_log_opens_after_a_loss_of_power_whichever_removals_are_kept() {
    let records = records();
    let moments = moments(&records);
    let most = moments.iter().map(|moment| moment.disk.unsynced()).max();
    assert!(most >= Some(3), "several removals are unsynced at once: {most:?}");
    for moment in &moments {
        for kept in 0..1 << moment.disk.unsynced() {
            assert_recovers(moment, kept, &records);
        }
    }
}

/// Writes the records to a log in a folder; returns the names of the segments that were removed from
/// it, with their last content.
fn log_with_removed_segments(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut copies = BTreeMap::new();
    let (wal, _) = open(folder, SEGMENT_BYTES).expect("an empty log");
    for record in records() {
        for file in std::fs::read_dir(folder).unwrap().map(Result::unwrap) {
            let name = file.file_name().into_string().unwrap();
            if name.ends_with(".segment") {
                copies.insert(name, std::fs::read(file.path()).unwrap());
            }
        }
        write(&wal, vec![record]).expect("no failure");
    }
    wal.close();
    copies.retain(|name, _| !folder.join(name).exists());
    copies
}

/// Guards against a removed segment that comes back and is taken for a needed one.
#[test]
fn each_removed_segment_may_come_back() {
    let folder = tempfile::tempdir().unwrap();
    let removed = log_with_removed_segments(folder.path());
    assert!(removed.len() > 3, "{} segments are removed", removed.len());
    let each = removed.iter().map(|one| vec![one]);
    for back in each.chain([removed.iter().collect()]) {
        for (name, bytes) in &back {
            std::fs::write(folder.path().join(name), bytes).unwrap();
        }
        let (wal, recovered) = open(folder.path(), SEGMENT_BYTES).expect("a log");
        assert_eq!(recovered.groups, replayed(&records()));
        wal.close();
        for (name, _) in back {
            assert!(!folder.path().join(name).exists(), "{name} is removed again");
        }
    }
}

/// Guards against a log that opens although records are missing.
#[test]
fn a_needed_segment_that_is_missing_ends_the_start_with_an_error() {
    let folder = tempfile::tempdir().unwrap();
    log_with_removed_segments(folder.path());
    let (wal, _) = open(folder.path(), SEGMENT_BYTES).expect("a log");
    for index in 37..60 {
        write(&wal, vec![append(1, index..=index, 1)]).expect("no failure");
    }
    wal.close();
    let mut segments: Vec<_> = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|file| file.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "segment"))
        .collect();
    segments.sort();
    assert!(segments.len() > 2, "{segments:?}");
    for missing in &segments[..segments.len() - 1] {
        let bytes = std::fs::read(missing).unwrap();
        std::fs::remove_file(missing).unwrap();
        let error = open(folder.path(), SEGMENT_BYTES).expect_err("a gap").to_string();
        let name = missing.file_name().unwrap().to_str().unwrap();
        assert!(error.contains(name) && error.contains("missing"), "{error}");
        std::fs::write(missing, bytes).unwrap();
    }
    open(folder.path(), SEGMENT_BYTES).expect("the whole log").0.close();
}
