//! The writing half of a connection: batches frames, and applies cuts and delays.

use std::net::IpAddr;
use std::sync::Arc;

use tokio::io::{AsyncWrite, AsyncWriteExt, BufWriter};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::{LinkFaults, Traffic};

/// Frames that may wait for one connection's writer.
pub(crate) const WRITE_QUEUE_FRAMES: usize = 4096;

/// Bytes of small frames that gather before they are written (ours). A process has a connection to many others, so the
/// buffers of idle ones must cost little; larger frames pass them by.
pub(crate) const BUFFER_BYTES: usize = 8 << 10;

/// An encoded frame and when it was handed over.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) bytes: Vec<u8>,
    pub(crate) since: Instant,
}

impl Outgoing {
    pub(crate) fn new(bytes: Vec<u8>) -> Self {
        Self { bytes, since: Instant::now() }
    }
}

/// Writes frames until the queue closes or the connection breaks. Flushes whenever the queue runs dry,
/// so that a lone frame never waits and many share one system call.
pub(crate) async fn write_frames<W: AsyncWrite + Unpin>(
    half: W,
    mut queue: mpsc::Receiver<Outgoing>,
    faults: Arc<LinkFaults>,
    traffic: Arc<Traffic>,
    peer: IpAddr,
) -> std::io::Result<()> {
    let mut writer = BufWriter::with_capacity(BUFFER_BYTES, half);
    while let Some(frame) = queue.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            hold_back(&mut writer, &faults, peer, frame.since).await?;
            writer.write_all(&frame.bytes).await?;
            traffic.sent(frame.bytes.len());
            next = queue.try_recv().ok();
        }
        writer.flush().await?;
    }
    writer.shutdown().await
}

/// Waits out a delay or a cut; what is buffered already goes out first.
async fn hold_back<W: AsyncWrite + Unpin>(
    writer: &mut BufWriter<W>,
    faults: &LinkFaults,
    peer: IpAddr,
    since: Instant,
) -> std::io::Result<()> {
    let due = since + faults.delay_to(peer);
    let cut = faults.is_cut(peer);
    if !cut && due <= Instant::now() {
        return Ok(());
    }
    writer.flush().await?;
    tokio::time::sleep_until(due).await;
    faults.passable(peer).await;
    Ok(())
}
