//! Handshake of a new connection: both sides prove that they hold the cluster secret.
//!
//! The server sends a challenge, and each side then sends a [`Hello`] with a keyed hash over the
//! other side's nonce, its own nonce and its identity.

use std::io;
use std::net::IpAddr;

use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

use crate::features::Features;
use crate::frame::{encode, read};
use crate::{LocalIdentity, Peer};

const PROTOCOL_VERSION: u32 = 1;

type Nonce = [u8; 32];

#[derive(Debug, Serialize, Deserialize)]
struct Challenge {
    protocol: u32,
    nonce: Nonce,
}

#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    node: NodeId,
    incarnation: Incarnation,
    role: NodeRole,
    cluster: u64,
    bundle: BundleVersion,
    nonce: Nonce,
    proof: [u8; 32],
    #[serde(deserialize_with = "Features::decode_last")]
    features: Features,
}

#[derive(Debug, Clone, Copy)]
enum Side {
    Client,
    Server,
}

fn proof(
    key: &[u8; 32],
    side: Side,
    challenge: &Nonce,
    own: &Nonce,
    sender: (NodeId, u64),
) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(match side {
        Side::Client => b"client",
        Side::Server => b"server",
    });
    hasher.update(challenge).update(own);
    hasher.update(&sender.0.0.to_le_bytes()).update(&sender.1.to_le_bytes());
    *hasher.finalize().as_bytes()
}

fn make_hello(identity: &LocalIdentity, side: Side, challenge: &Nonce, nonce: Nonce) -> Hello {
    let node = identity.address.node;
    let incarnation = identity.address.incarnation;
    Hello {
        node,
        incarnation,
        role: identity.address.role,
        cluster: identity.cluster(),
        bundle: identity.bundles.advertised(),
        nonce,
        proof: proof(identity.secret_key(), side, challenge, &nonce, (node, incarnation.0)),
        features: Features::OWN,
    }
}

fn verify_hello(
    identity: &LocalIdentity,
    side: Side,
    challenge: &Nonce,
    hello: &Hello,
    ip: IpAddr,
) -> io::Result<Peer> {
    let sender = (hello.node, hello.incarnation.0);
    let expected = proof(identity.secret_key(), side, challenge, &hello.nonce, sender);
    if !bool::from(expected.ct_eq(&hello.proof)) {
        return Err(refusal("peer does not hold the cluster secret"));
    }
    let (own, other) = (identity.cluster(), hello.cluster);
    if own != 0 && other != 0 && own != other {
        return Err(refusal("peer belongs to another cluster"));
    }
    identity.bundles.observe(hello.bundle);
    identity.newest_incarnations.record(ip, hello.incarnation);
    if hello.role == NodeRole::Store {
        identity.peer_features.record(hello.node, hello.features);
    }
    Ok(Peer { node: hello.node, incarnation: hello.incarnation, role: hello.role, ip })
}

fn refusal(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, reason)
}

async fn send<T: Serialize, S: AsyncWrite + Unpin>(
    stream: &mut S,
    identity: &LocalIdentity,
    value: &T,
) -> io::Result<()> {
    let bytes = encode(value)?;
    stream.write_all(&bytes).await?;
    identity.traffic.record_sent(bytes.len());
    stream.flush().await
}

/// Performs the client's side of the handshake and returns the authenticated peer.
pub(crate) async fn connect<S>(
    stream: &mut S,
    identity: &LocalIdentity,
    ip: IpAddr,
) -> io::Result<Peer>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let challenge: Challenge = read(stream, &identity.traffic).await?;
    if challenge.protocol != PROTOCOL_VERSION {
        return Err(refusal("peer uses another protocol version"));
    }
    let nonce: Nonce = rand::rng().random();
    send(stream, identity, &make_hello(identity, Side::Client, &challenge.nonce, nonce)).await?;
    let reply: Hello = read(stream, &identity.traffic).await?;
    verify_hello(identity, Side::Server, &nonce, &reply, ip)
}

/// Performs the server's side of the handshake and returns the authenticated peer.
pub(crate) async fn accept<S>(
    stream: &mut S,
    identity: &LocalIdentity,
    ip: IpAddr,
) -> io::Result<Peer>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let nonce: Nonce = rand::rng().random();
    send(stream, identity, &Challenge { protocol: PROTOCOL_VERSION, nonce }).await?;
    let hello: Hello = read(stream, &identity.traffic).await?;
    let peer = verify_hello(identity, Side::Client, &nonce, &hello, ip)?;
    let own: Nonce = rand::rng().random();
    send(stream, identity, &make_hello(identity, Side::Server, &hello.nonce, own)).await?;
    Ok(peer)
}
