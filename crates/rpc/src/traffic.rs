//! Counters of RPC traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the frames and bytes of all RPC connections of a process, without TCP and IP
/// headers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent_bytes: AtomicU64,
    sent_frames: AtomicU64,
    received_bytes: AtomicU64,
    received_frames: AtomicU64,
}

/// Values of the [`Traffic`] counters at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Bytes sent, length prefixes included.
    pub sent_bytes: u64,
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes received, length prefixes included.
    pub received_bytes: u64,
    /// Frames received.
    pub received_frames: u64,
}

impl Traffic {
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.sent_frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.received_frames.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads the counters.
    #[must_use]
    pub fn counts(&self) -> TrafficCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TrafficCounts {
            sent_bytes: read(&self.sent_bytes),
            sent_frames: read(&self.sent_frames),
            received_bytes: read(&self.received_bytes),
            received_frames: read(&self.received_frames),
        }
    }
}
