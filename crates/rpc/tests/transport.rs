//! RPC between a client and a server over real sockets: replies, streams, the handshake and link
//! faults.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hooklug_protocol::control::NodeAddress;
use hooklug_protocol::{Method, Request, StreamRequest};
use hooklug_rpc::{
    Fault, HANDSHAKE_RETRY_DELAY, LinkFault, LocalIdentity, Router, RpcClient, RpcError, RpcServer,
};
use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Echo(String);

impl Request for Echo {
    type Reply = String;
    const METHOD: Method = Method::Echo;
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Count(u32);

impl StreamRequest for Count {
    type Item = u32;
    const METHOD: Method = Method::WatchView;
}

/// A request for which the test server has no handler.
#[derive(Debug, Serialize, Deserialize)]
struct Unhandled;

impl Request for Unhandled {
    type Reply = ();
    const METHOD: Method = Method::Discover;
}

/// A request whose handler panics.
#[derive(Debug, Serialize, Deserialize)]
struct Panicking;

impl Request for Panicking {
    type Reply = ();
    const METHOD: Method = Method::Heartbeat;
}

/// A request that gets its reply from another thread, or no reply.
#[derive(Debug, Serialize, Deserialize)]
enum Deferred {
    Reply(u32),
    DropReplier,
}

impl Request for Deferred {
    type Reply = u32;
    const METHOD: Method = Method::Execute;
}

fn identity(node: u64, secret: &str) -> LocalIdentity {
    let address = NodeAddress {
        node: NodeId(node),
        incarnation: Incarnation(1),
        role: NodeRole::Core,
        rpc: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
        http: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
        zone: ZoneName::new("z1").expect("a valid zone"),
    };
    LocalIdentity::new(address, secret)
}

struct RunningServer {
    address: SocketAddr,
    identity: LocalIdentity,
    stop: CancellationToken,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn start(secret: &str) -> RunningServer {
    let router = Router::new()
        .route(|peer, Echo(text)| async move { format!("{} from {}", text, peer.node) })
        .route(|_, _: Panicking| async move { panic!("requested by the test") })
        .route_deferred(|_, request: Deferred, replier| match request {
            Deferred::Reply(number) => drop(std::thread::spawn(move || replier.send(&number))),
            Deferred::DropReplier => drop(replier),
        })
        .route_stream(|_, Count(to), sink| async move {
            for i in 1..=to {
                if sink.send(&i).await.is_err() {
                    return;
                }
            }
        });
    let listener = RpcServer::bind("127.0.0.1:0".parse().expect("an address")).await.expect("bind");
    let address = listener.local_addr().expect("an address");
    let identity = identity(1, secret);
    let stop = CancellationToken::new();
    tokio::spawn(RpcServer::new(listener, identity.clone(), router).run(stop.clone()));
    RunningServer { address, identity, stop }
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

#[tokio::test]
async fn a_call_gets_its_own_reply_among_many() {
    let server = start("a shared secret").await;
    let client = RpcClient::new(identity(2, "a shared secret"));
    let calls = (0..200).map(|i| {
        let (client, to) = (client.clone(), server.address);
        tokio::spawn(async move { client.call(to, &Echo(i.to_string()), deadline()).await })
    });
    for (i, call) in calls.collect::<Vec<_>>().into_iter().enumerate() {
        assert_eq!(call.await.expect("no panic"), Ok(format!("{i} from 2")));
    }
}

#[tokio::test]
async fn a_deferred_reply_is_delivered_and_a_dropped_one_is_a_fault() {
    let server = start("a shared secret").await;
    let client = RpcClient::new(identity(2, "a shared secret"));
    for number in 0..50 {
        let reply = client.call(server.address, &Deferred::Reply(number), deadline()).await;
        assert_eq!(reply, Ok(number));
    }
    let dropped = client.call(server.address, &Deferred::DropReplier, deadline()).await;
    assert!(matches!(dropped, Err(RpcError::Fault(Fault::Failed(_)))), "{dropped:?}");
}

#[tokio::test]
async fn a_stream_delivers_all_items_then_ends() {
    let server = start("a shared secret").await;
    let client = RpcClient::new(identity(2, "a shared secret"));
    let mut items = client.open(server.address, &Count(500), deadline()).await.expect("opened");
    for expected in 1..=500 {
        assert_eq!(items.next().await, Ok(Some(expected)));
    }
    assert_eq!(items.next().await, Ok(None));
}

#[tokio::test]
async fn a_slow_reader_is_disconnected_without_blocking_other_calls() {
    let server = start("a shared secret").await;
    let client = RpcClient::new(identity(2, "a shared secret"));
    let mut slow = client.open(server.address, &Count(100_000), deadline()).await.expect("opened");
    assert_eq!(
        client.call(server.address, &Echo("on".into()), deadline()).await,
        Ok("on from 2".to_owned())
    );
    let mut expected = 1;
    let end = loop {
        match slow.next().await {
            Ok(Some(item)) => {
                assert_eq!(item, expected, "items arrive in order, without gaps");
                expected += 1;
            }
            other => break other,
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    };
    assert_eq!(end, Err(RpcError::SlowReader));
}

#[tokio::test]
async fn another_secret_and_an_unknown_method_are_refused() {
    let server = start("a shared secret").await;
    let wrong_client = RpcClient::new(identity(2, "another secret"));
    let refused = wrong_client.call(server.address, &Echo("x".into()), deadline()).await;
    assert!(refused.expect_err("refused").is_not_sent());
    let client = RpcClient::new(identity(3, "a shared secret"));
    let unknown = client.call(server.address, &Unhandled, deadline()).await;
    assert!(matches!(unknown, Err(RpcError::Fault(_))), "{unknown:?}");
}

#[tokio::test]
async fn a_panicking_handler_returns_a_fault() {
    let server = start("a shared secret").await;
    let client = RpcClient::new(identity(2, "a shared secret"));
    let failed = client.call(server.address, &Panicking, deadline()).await;
    assert!(matches!(failed, Err(RpcError::Fault(Fault::Failed(_)))), "{failed:?}");
    let next = client.call(server.address, &Echo("on".into()), deadline()).await;
    assert_eq!(next, Ok("on from 2".to_owned()), "the connection stays usable");
}

#[tokio::test]
async fn connection_attempts_back_off_after_an_aborted_handshake() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let to = listener.local_addr().expect("an address");
    let accepted = Arc::new(AtomicU64::new(0));
    let counting = accepted.clone();
    tokio::spawn(async move {
        while listener.accept().await.is_ok() {
            counting.fetch_add(1, Ordering::SeqCst);
        }
    });
    let client = RpcClient::new(identity(2, "a shared secret"));
    let started = Instant::now();
    for _ in 0..100 {
        let refused = client.call(to, &Echo("x".into()), deadline()).await;
        assert!(refused.expect_err("refused").is_not_sent());
    }
    let delays = started.elapsed().as_millis() / HANDSHAKE_RETRY_DELAY.as_millis();
    let opened = accepted.load(Ordering::SeqCst);
    assert!(u128::from(opened) <= delays + 1, "{opened} connections in {delays} retry delays");
}

#[tokio::test]
async fn a_peer_of_another_cluster_is_refused() {
    let server = start("a shared secret").await;
    server.identity.set_cluster(7);
    let other = identity(2, "a shared secret");
    other.set_cluster(8);
    let refused = RpcClient::new(other).call(server.address, &Echo("x".into()), deadline()).await;
    assert!(refused.expect_err("refused").is_not_sent());
}

#[tokio::test]
async fn bundle_versions_are_exchanged_in_ordinary_frames() {
    let server = start("a shared secret").await;
    let own = identity(2, "a shared secret");
    let client = RpcClient::new(own.clone());
    server.identity.bundles.set_installed(BundleVersion(9));
    client.call(server.address, &Echo("x".into()), deadline()).await.expect("a reply");
    assert_eq!(*own.bundles.watch_newest().borrow(), BundleVersion(9));
    server.identity.bundles.set_installed(BundleVersion(4));
    assert_eq!(server.identity.bundles.installed(), BundleVersion(9), "never goes back");
    server.identity.bundles.note_committed(BundleVersion(11));
    client.call(server.address, &Echo("x".into()), deadline()).await.expect("a reply");
    assert_eq!(*own.bundles.watch_newest().borrow(), BundleVersion(11), "committed, not installed");
    assert_eq!(server.identity.bundles.installed(), BundleVersion(9));
}

#[tokio::test]
async fn a_partitioned_link_delays_replies_until_healed() {
    let server = start("a shared secret").await;
    let client = RpcClient::new(identity(2, "a shared secret"));
    client.call(server.address, &Echo("before".into()), deadline()).await.expect("a reply");
    let here = IpAddr::V4(Ipv4Addr::LOCALHOST);
    server.identity.faults.set(BTreeMap::from([(here, LinkFault { cut: true, delay_micros: 0 })]));
    let short = Instant::now() + Duration::from_millis(200);
    let cut = client.call(server.address, &Echo("during".into()), short).await;
    assert_eq!(cut, Err(RpcError::DeadlineExceeded));
    let waiting = {
        let (client, to) = (client.clone(), server.address);
        tokio::spawn(async move { client.call(to, &Echo("after".into()), deadline()).await })
    };
    server.identity.faults.set(BTreeMap::new());
    assert_eq!(waiting.await.expect("no panic"), Ok("after from 2".to_owned()));
}

#[tokio::test]
async fn a_call_to_a_stopped_server_is_reported_not_sent() {
    let server = start("a shared secret").await;
    let to = server.address;
    let client = RpcClient::new(identity(2, "a shared secret"));
    client.call(to, &Echo("x".into()), deadline()).await.expect("a reply");
    server.stop.cancel();
    // Calls on the closing connection may fail otherwise; once it is closed, no new one can be
    // opened.
    loop {
        match client.call(to, &Echo("x".into()), deadline()).await {
            Err(error) if error.is_not_sent() => break,
            _ => tokio::task::yield_now().await,
        }
    }
}

/// Frames that a server sends in a handshake: its challenge and its hello.
const OPENING_FRAMES: u64 = 2;

/// Guards against calls that fail for seconds after a machine lost power and restarted: its
/// previous incarnation cannot close the connection, which looks open until the idle timeout.
#[tokio::test]
async fn a_connection_is_reopened_once_for_a_newer_incarnation_at_its_address() {
    let server = start("a shared secret").await;
    let own = start("a shared secret").await;
    let client = RpcClient::new(own.identity.clone());
    let frames_sent_in_a_call = async || {
        let before = server.identity.traffic.counts().sent_frames;
        client.call(server.address, &Echo("it".to_owned()), deadline()).await.expect("a reply");
        server.identity.traffic.counts().sent_frames - before
    };
    // A pong may be counted together with the reply.
    let without_handshake = ..=OPENING_FRAMES;
    frames_sent_in_a_call().await;
    assert!(without_handshake.contains(&frames_sent_in_a_call().await), "the connection is reused");
    let mut newer = identity(3, "a shared secret");
    newer.address.incarnation = Incarnation(9);
    RpcClient::new(newer).peer(own.address, deadline()).await.expect("a completed handshake");
    assert!(
        !without_handshake.contains(&frames_sent_in_a_call().await),
        "a new connection is opened"
    );
    assert!(without_handshake.contains(&frames_sent_in_a_call().await), "it is opened only once");
}
