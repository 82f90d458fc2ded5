//! Frame types, and encoding and decoding of length-prefixed frames.

use std::io;

use bytes::Bytes;
use hooklug_protocol::Method;
use hooklug_types::BundleVersion;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::{Fault, Traffic};

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Maximum length of a frame, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 64 << 20;

/// Frame sent by the client, which opened the connection.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ClientFrame {
    /// A request with one reply.
    Call { id: u64, method: Method, body: Bytes },
    /// A request whose response is a stream.
    Open { id: u64, method: Method, body: Bytes },
    /// Cancels a call or a stream.
    Cancel { id: u64 },
    /// Requests a [`ServerBody::Pong`]; carries the bundle version that the client advertises.
    Ping { bundle: BundleVersion },
}

/// Frame sent by the server, which accepted the connection.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ServerFrame {
    /// Newest bundle version that the sender has installed or knows to be committed.
    pub(crate) bundle: BundleVersion,
    pub(crate) body: ServerBody,
}

/// Content of a [`ServerFrame`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ServerBody {
    Reply { id: u64, body: Bytes },
    Item { id: u64, body: Bytes },
    End { id: u64 },
    Fault { id: u64, fault: Fault },
    Pong,
}

/// Encodes a value with a length prefix.
pub(crate) fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let mut bytes = postcard::to_extend(value, vec![0_u8; 4]).map_err(io::Error::other)?;
    let length = bytes.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "frame too long"));
    }
    let prefix = u32::try_from(length).map_err(io::Error::other)?;
    bytes[..4].copy_from_slice(&prefix.to_le_bytes());
    Ok(bytes)
}

/// Reads and decodes one frame.
pub(crate) async fn read<T, R>(reader: &mut R, traffic: &Traffic) -> io::Result<T>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let length = reader.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut bytes = vec![0_u8; length];
    reader.read_exact(&mut bytes).await?;
    traffic.record_received(LENGTH_BYTES + length);
    postcard::from_bytes(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
