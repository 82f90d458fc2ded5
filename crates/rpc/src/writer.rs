//! Writer of a connection: batches frames and applies injected link faults.

use std::net::IpAddr;
use std::sync::Arc;

use tokio::io::{AsyncWrite, AsyncWriteExt, BufWriter};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::{LinkFaults, Traffic};

/// Capacity of a connection's write queue, in frames.
pub(crate) const WRITE_QUEUE_FRAMES: usize = 4096;

/// Size of a connection's read and write buffers, in bytes. Small, because a process has
/// connections to many others and most are idle; larger frames bypass the buffer.
pub(crate) const BUFFER_BYTES: usize = 8 << 10;

/// An encoded frame and the time at which it was queued.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    pub(crate) bytes: Vec<u8>,
    pub(crate) queued_at: Instant,
}

impl QueuedFrame {
    pub(crate) fn new(bytes: Vec<u8>) -> Self {
        Self { bytes, queued_at: Instant::now() }
    }
}

/// Writes frames until the queue closes or the connection fails. Flushes whenever the queue is
/// empty, so that a single frame is sent at once and a burst of frames shares one system call.
pub(crate) async fn write_frames<W: AsyncWrite + Unpin>(
    half: W,
    mut queue: mpsc::Receiver<QueuedFrame>,
    faults: Arc<LinkFaults>,
    traffic: Arc<Traffic>,
    peer: IpAddr,
) -> std::io::Result<()> {
    let mut writer = BufWriter::with_capacity(BUFFER_BYTES, half);
    while let Some(frame) = queue.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            apply_faults(&mut writer, &faults, peer, frame.queued_at).await?;
            writer.write_all(&frame.bytes).await?;
            traffic.record_sent(frame.bytes.len());
            next = queue.try_recv().ok();
        }
        writer.flush().await?;
    }
    writer.shutdown().await
}

/// Waits until an injected delay or cut of the link is over, after flushing the buffered frames.
async fn apply_faults<W: AsyncWrite + Unpin>(
    writer: &mut BufWriter<W>,
    faults: &LinkFaults,
    peer: IpAddr,
    queued_at: Instant,
) -> std::io::Result<()> {
    let due = queued_at + faults.delay_to(peer);
    let cut = faults.is_cut(peer);
    if !cut && due <= Instant::now() {
        return Ok(());
    }
    writer.flush().await?;
    tokio::time::sleep_until(due).await;
    faults.wait_until_restored(peer).await;
    Ok(())
}
