//! Application engines: the platform's list combined with the probe result of each engine.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Cluster, Node, eventually};
use hooklug_control::core::engines::EngineTable;
use hooklug_control::core::platform::{ListSource, ListedEngine};
use hooklug_protocol::control::{ApplicationEngine, ProbeOutcome, ProbeResult, ProbedEngine};
use hooklug_rpc::RpcServer;
use hooklug_types::{EngineId, Incarnation, NodeRole, ZoneName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn listed(ports: &[u16]) -> Vec<ListedEngine> {
    let zone = ZoneName::new("z1").expect("valid");
    ports.iter().map(|p| ListedEngine { address: address(*p), zone: zone.clone() }).collect()
}

fn engine(engine: &str, incarnation: u64) -> ProbedEngine {
    ProbedEngine {
        engine: engine.parse().expect("valid"),
        incarnation: Incarnation(incarnation),
        service: "notices".parse().expect("valid"),
        version: "v1".parse().expect("valid"),
        ready: true,
        draining: false,
    }
}

fn engine_found(engine_id: &str, incarnation: u64) -> ProbeResult {
    ProbeResult::Engine(engine(engine_id, incarnation))
}

fn record_probe(table: &mut EngineTable, port: u16, result: ProbeResult, now: Instant) {
    table.record_probe(&ProbeOutcome { address: address(port), result }, now);
}

fn find(table: &EngineTable, engine: &str) -> Option<ApplicationEngine> {
    table.engines().remove(&engine.parse::<EngineId>().expect("valid"))
}

#[test]
fn an_address_that_never_responds_is_not_listed_as_an_engine() {
    let mut table = EngineTable::default();
    table.set_list(listed(&[1]));
    record_probe(&mut table, 1, ProbeResult::NoAnswer, Instant::now());
    assert!(table.engines().is_empty());
    assert!(table.addresses().contains(&address(1)), "it is probed again");
}

#[test]
fn one_refused_connection_or_two_lost_probes_make_an_engine_unhealthy() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1, 2]));
    record_probe(&mut table, 1, engine_found("a", 1), now);
    record_probe(&mut table, 2, engine_found("b", 1), now);
    record_probe(&mut table, 1, ProbeResult::Refused, now);
    record_probe(&mut table, 2, ProbeResult::NoAnswer, now);
    assert_eq!(find(&table, "a").map(|e| e.healthy), Some(false));
    assert_eq!(find(&table, "b").map(|e| e.healthy), Some(true));
    record_probe(&mut table, 2, ProbeResult::NoAnswer, now);
    assert_eq!(find(&table, "b").map(|e| e.healthy), Some(false));
    record_probe(&mut table, 2, engine_found("b", 1), now);
    assert_eq!(find(&table, "b").map(|e| e.healthy), Some(true));
}

#[test]
fn a_reused_address_is_another_engine() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1]));
    record_probe(&mut table, 1, engine_found("a", 1), now);
    record_probe(&mut table, 1, engine_found("b", 2), now);
    assert_eq!(find(&table, "a"), None);
    assert_eq!(find(&table, "b").map(|e| e.address), Some(address(1)));
}

#[test]
fn a_moved_engine_is_located_by_its_newest_incarnation() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1, 2]));
    record_probe(&mut table, 1, engine_found("a", 1), now);
    record_probe(&mut table, 2, engine_found("a", 2), now);
    record_probe(&mut table, 1, engine_found("a", 1), now);
    let engine = find(&table, "a").expect("known");
    assert_eq!((engine.address, engine.incarnation), (address(2), Incarnation(2)));
}

#[test]
fn an_unlisted_engine_is_retained_until_it_is_unresponsive_for_a_minute() {
    let start = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1]));
    record_probe(&mut table, 1, engine_found("a", 1), start);
    table.set_list(Vec::new());
    assert!(table.addresses().contains(&address(1)));
    table.remove_expired(start + Duration::from_secs(10));
    assert!(find(&table, "a").is_some());
    table.remove_expired(start + Duration::from_secs(60));
    assert!(find(&table, "a").is_none());
}

#[test]
fn addresses_without_a_recent_probe_are_overdue() {
    let start = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1, 2]));
    record_probe(&mut table, 1, engine_found("a", 1), start);
    assert_eq!(table.overdue(start), [address(2)].into());
    assert_eq!(table.overdue(start + Duration::from_secs(3)), [address(1), address(2)].into());
}

#[test]
fn draining_engines_and_model_servers_are_distinguished() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1, 2]));
    let draining = ProbedEngine { draining: true, ..engine("a", 1) };
    record_probe(&mut table, 1, ProbeResult::Engine(draining), now);
    record_probe(&mut table, 2, engine_found("m", 1), now);
    record_probe(&mut table, 2, ProbeResult::Other, now);
    assert_eq!(find(&table, "a").map(|e| e.draining), Some(true));
    assert_eq!(find(&table, "m"), None, "a model server is reached through its session host");
}

#[test]
fn the_source_of_the_list_is_an_endpoint_or_a_file() {
    let endpoint = ListSource::parse("http://127.0.0.1:80/engines?region=a");
    let expected =
        ListSource::Endpoint { address: address(80), path: "/engines?region=a".to_owned() };
    assert_eq!(endpoint, expected);
    assert_eq!(ListSource::parse("list.json"), ListSource::File("list.json".into()));
}

/// A fake engine that serves `/identity` and `/status` as described in docs/BACKENDS.md.
struct FakeEngine {
    id: EngineId,
    address: SocketAddr,
    draining: Arc<AtomicBool>,
}

async fn start_engine(number: usize) -> FakeEngine {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let draining = Arc::new(AtomicBool::new(false));
    let id: EngineId = format!("n{number}").parse().expect("valid");
    tokio::spawn(serve(listener, id.clone(), draining.clone()));
    FakeEngine { id, address, draining }
}

async fn serve(listener: TcpListener, id: EngineId, draining: Arc<AtomicBool>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (id, draining) = (id.clone(), draining.clone());
        tokio::spawn(async move {
            let mut request = vec![0_u8; 4096];
            while let Ok(read @ 1..) = stream.read(&mut request).await {
                let head = String::from_utf8_lossy(&request[..read]).into_owned();
                let body = if head.starts_with("GET /identity") {
                    serde_json::json!({"service": "notices", "engine": id.as_str(),
                        "incarnation": 5, "version": "v1", "kind": "application"})
                } else {
                    let draining = draining.load(Ordering::SeqCst);
                    serde_json::json!({"ready": true, "draining": draining, "slots": 8, "running": 0})
                };
                let body = body.to_string();
                let response =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn engines_and_drains_reach_every_view_despite_a_killed_core() {
    let mut engines = Vec::new();
    for number in 0..8 {
        engines.push(start_engine(number).await);
    }
    let entries: Vec<_> =
        engines.iter().map(|e| serde_json::json!({"address": e.address, "zone": "z2"})).collect();
    let list = tempfile::NamedTempFile::new().expect("a scratch file");
    std::fs::write(list.path(), serde_json::json!({ "engines": entries }).to_string())
        .expect("written");

    let cluster = Cluster::new(21).await;
    let mut cores: Vec<Node> = Vec::new();
    for last in [200, 201, 202] {
        let seeds: Vec<SocketAddr> = cores.iter().map(Node::rpc).collect();
        let listener = RpcServer::bind(([127, 21, 0, last], 0).into()).await.expect("loopback");
        let source = list.path().display().to_string();
        cores.push(cluster.start_on(NodeRole::Core, &seeds, listener, Some(source)));
    }
    let seeds: Vec<SocketAddr> = cores.iter().map(Node::rpc).collect();
    let gateway = cluster.start(NodeRole::Gateway, &seeds).await;
    let seen = |engine: &FakeEngine| gateway.view().engines.get(&engine.id).cloned();
    for engine in &engines {
        eventually("healthy engines are seen", || seen(engine).is_some_and(|e| e.healthy)).await;
        let seen = seen(engine).expect("just seen");
        assert_eq!((seen.address, seen.zone.as_str()), (engine.address, "z2"));
    }
    for core in &cores {
        for engine in &engines[..4] {
            engine.draining.fetch_xor(true, Ordering::SeqCst);
        }
        let expected = engines[0].draining.load(Ordering::SeqCst);
        for engine in &engines[..4] {
            eventually("a drain is seen", || seen(engine).is_some_and(|e| e.draining == expected))
                .await;
        }
        assert!(engines[4..].iter().all(|e| seen(e).is_some_and(|e| !e.draining && e.healthy)));
        if core.id() != cores[2].id() {
            core.kill();
        }
    }
}
