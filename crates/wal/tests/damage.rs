//! A small log, truncated and corrupted at every byte.

mod support;

use std::path::{Path, PathBuf};

use hooklug_wal::{GroupRecord, WalError};
use support::{append, hard_state, open, replayed, snapshot, write};

/// Five synced appends for two groups.
fn appends() -> Vec<Vec<GroupRecord>> {
    vec![
        vec![hard_state(1, 1, 0), append(1, 1..=3, 1)],
        vec![hard_state(2, 1, 0), append(2, 1..=2, 1)],
        vec![append(1, 3..=5, 2), hard_state(1, 2, 2)],
        vec![snapshot(1, 3, 2)],
        vec![append(2, 3..=3, 1), append(1, 6..=6, 2)],
    ]
}

fn only_segment(folder: &Path) -> PathBuf {
    let files = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let mut paths = files.filter(|path| path.extension().is_some_and(|e| e == "segment"));
    let path = paths.next().expect("a segment");
    assert!(paths.next().is_none(), "one segment");
    path
}

/// Writes the log and returns its bytes and its length before the first and after each append.
fn written() -> (Vec<u8>, Vec<usize>) {
    let folder = tempfile::tempdir().unwrap();
    let (wal, _) = open(folder.path(), 1 << 20).unwrap();
    let path = only_segment(folder.path());
    let mut lengths = vec![std::fs::metadata(&path).unwrap().len() as usize];
    for records in appends() {
        write(&wal, records).unwrap();
        lengths.push(std::fs::metadata(&path).unwrap().len() as usize);
    }
    (std::fs::read(path).unwrap(), lengths)
}

fn reopen(bytes: &[u8]) -> Result<hooklug_wal::Recovered, WalError> {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("0000000000000001.segment"), bytes).unwrap();
    open(folder.path(), 1 << 20).map(|(_, recovered)| recovered)
}

#[test]
fn a_truncated_log_recovers_all_complete_appends() {
    let (bytes, lengths) = written();
    for cut in 0..=bytes.len() {
        let complete = lengths.iter().filter(|length| **length <= cut).count().saturating_sub(1);
        let expected: Vec<_> = appends().into_iter().take(complete).flatten().collect();
        let recovered = reopen(&bytes[..cut]).unwrap_or_else(|e| panic!("cut at {cut}: {e}"));
        assert_eq!(recovered.groups, replayed(&expected), "cut at {cut}");
    }
}

#[test]
fn a_bit_flip_before_the_last_append_is_reported_with_its_offset() {
    let (bytes, lengths) = written();
    let last_start = lengths[lengths.len() - 2];
    for position in 0..last_start {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x10;
        let block_start = if position < lengths[0] {
            0
        } else {
            lengths.iter().rev().find(|start| **start <= position).copied().unwrap()
        };
        match reopen(&damaged) {
            Err(WalError::Corrupt { path, offset, .. }) => {
                assert_eq!(offset, block_start as u64, "flip at {position}");
                assert!(path.ends_with("0000000000000001.segment"), "{}", path.display());
            }
            other => panic!("flip at {position}: {other:?}"),
        }
    }
}

#[test]
fn a_bit_flip_in_the_last_append_drops_that_append() {
    let (bytes, lengths) = written();
    let all = appends();
    let before: Vec<_> = all[..all.len() - 1].iter().flatten().cloned().collect();
    for position in lengths[lengths.len() - 2]..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x10;
        // No later block records these bytes as synced, so they are treated as a torn tail.
        let recovered = reopen(&damaged).unwrap_or_else(|e| panic!("flip at {position}: {e}"));
        assert_eq!(recovered.groups, replayed(&before), "flip at {position}");
    }
}

#[test]
fn damage_in_a_closed_segment_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (wal, _) = open(folder.path(), 200).unwrap();
    for index in 1..=30 {
        write(&wal, vec![append(1, index..=index, 1)]).unwrap();
    }
    assert!(wal.segments() > 2);
    wal.close();
    let path = folder.path().join("0000000000000001.segment");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes.pop();
    std::fs::write(&path, &bytes).unwrap();
    let refused = open(folder.path(), 200).map(|_| ());
    assert!(matches!(refused, Err(WalError::Corrupt { path: at, .. }) if at == path));
}

#[test]
fn a_missing_segment_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (wal, _) = open(folder.path(), 200).unwrap();
    for index in 1..=30 {
        write(&wal, vec![append(1, index..=index, 1)]).unwrap();
    }
    wal.close();
    let middle = folder.path().join("0000000000000002.segment");
    std::fs::remove_file(&middle).unwrap();
    let refused = open(folder.path(), 200).map(|_| ());
    assert!(matches!(refused, Err(WalError::Corrupt { path, .. }) if path == middle));
    let first = folder.path().join("0000000000000001.segment");
    std::fs::remove_file(&first).unwrap();
    let refused = open(folder.path(), 200).map(|_| ());
    assert!(matches!(refused, Err(WalError::Corrupt { path, .. }) if path == first));
    // The log of a build that did not write which segment is the oldest needed one.
    std::fs::remove_file(folder.path().join("oldest-segment")).unwrap();
    let refused = open(folder.path(), 200).map(|_| ());
    assert!(matches!(refused, Err(WalError::Corrupt { reason, .. }) if reason.contains("entry 1")));
}
