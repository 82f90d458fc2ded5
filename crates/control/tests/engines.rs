//! Application engines: the platform's list joined with each engine's own word.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Cluster, eventually};
use hooklug_control::core::engines::EngineTable;
use hooklug_control::core::platform::{ListSource, ListedEngine};
use hooklug_control::core::probe::{
    BackendIdentity, BackendKind, BackendStatus, HttpError, ProbeAnswer,
};
use hooklug_protocol::control::ApplicationEngine;
use hooklug_rpc::RpcServer;
use hooklug_types::{EngineId, Incarnation, NodeRole, ZoneName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn place(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn listed(ports: &[u16]) -> Vec<ListedEngine> {
    let zone = ZoneName::new("z1").expect("valid");
    ports.iter().map(|p| ListedEngine { address: place(*p), zone: zone.clone() }).collect()
}

fn answer(engine: &str, incarnation: u64) -> ProbeAnswer {
    ProbeAnswer {
        identity: BackendIdentity {
            service: "notices".parse().expect("valid"),
            engine: engine.parse().expect("valid"),
            incarnation: Incarnation(incarnation),
            version: "v1".parse().expect("valid"),
            kind: BackendKind::Application,
        },
        status: BackendStatus { ready: true, draining: false },
    }
}

fn find(table: &EngineTable, engine: &str) -> Option<ApplicationEngine> {
    table.engines().remove(&engine.parse::<EngineId>().expect("valid"))
}

#[test]
fn an_address_that_never_answers_is_no_engine() {
    let mut table = EngineTable::default();
    table.set_list(listed(&[1]));
    table.probed(place(1), Err(HttpError::Timeout), Instant::now());
    assert!(table.engines().is_empty());
    assert!(table.addresses().contains(&place(1)), "it is asked again");
}

#[test]
fn a_refused_connection_counts_at_once_and_a_lost_probe_only_when_repeated() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1, 2]));
    table.probed(place(1), Ok(answer("a", 1)), now);
    table.probed(place(2), Ok(answer("b", 1)), now);
    table.probed(place(1), Err(HttpError::Refused), now);
    table.probed(place(2), Err(HttpError::Timeout), now);
    assert_eq!(find(&table, "a").map(|e| e.healthy), Some(false));
    assert_eq!(find(&table, "b").map(|e| e.healthy), Some(true));
    table.probed(place(2), Err(HttpError::Timeout), now);
    assert_eq!(find(&table, "b").map(|e| e.healthy), Some(false));
    table.probed(place(2), Ok(answer("b", 1)), now);
    assert_eq!(find(&table, "b").map(|e| e.healthy), Some(true));
}

#[test]
fn a_reused_address_is_another_engine() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1]));
    table.probed(place(1), Ok(answer("a", 1)), now);
    table.probed(place(1), Ok(answer("b", 2)), now);
    assert_eq!(find(&table, "a"), None);
    assert_eq!(find(&table, "b").map(|e| e.address), Some(place(1)));
}

#[test]
fn an_engine_that_moved_is_where_its_newer_run_is() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1, 2]));
    table.probed(place(1), Ok(answer("a", 1)), now);
    table.probed(place(2), Ok(answer("a", 2)), now);
    table.probed(place(1), Ok(answer("a", 1)), now);
    let engine = find(&table, "a").expect("known");
    assert_eq!((engine.address, engine.incarnation), (place(2), Incarnation(2)));
}

#[test]
fn the_list_lags_so_a_known_engine_stays_until_it_is_silent_for_long() {
    let start = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1]));
    table.probed(place(1), Ok(answer("a", 1)), start);
    table.set_list(Vec::new());
    assert!(table.addresses().contains(&place(1)));
    table.look(start + Duration::from_secs(10));
    assert!(find(&table, "a").is_some());
    table.look(start + Duration::from_secs(60));
    assert!(find(&table, "a").is_none());
}

#[test]
fn draining_and_model_servers_are_told_apart() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.set_list(listed(&[1, 2]));
    let mut draining = answer("a", 1);
    draining.status.draining = true;
    table.probed(place(1), Ok(draining), now);
    let mut model = answer("m", 1);
    model.identity.kind = BackendKind::Model;
    table.probed(place(2), Ok(model), now);
    assert_eq!(find(&table, "a").map(|e| e.draining), Some(true));
    assert_eq!(find(&table, "m"), None, "a model server is reached through its session host");
}

#[test]
fn the_source_of_the_list_is_an_endpoint_or_a_file() {
    let endpoint = ListSource::parse("http://127.0.0.1:80/engines?region=a");
    let expected =
        ListSource::Endpoint { address: place(80), path: "/engines?region=a".to_owned() };
    assert_eq!(endpoint, expected);
    assert_eq!(ListSource::parse("list.json"), ListSource::File("list.json".into()));
}

/// Answers `/identity` and `/status` as docs/BACKENDS.md says.
async fn serve_engine(listener: TcpListener, status: Arc<Mutex<&'static str>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let status = status.clone();
        tokio::spawn(async move {
            let mut request = vec![0_u8; 4096];
            while let Ok(read @ 1..) = stream.read(&mut request).await {
                let asked = String::from_utf8_lossy(&request[..read]).into_owned();
                let body = if asked.starts_with("GET /identity") {
                    r#"{"service": "notices", "engine": "n1", "incarnation": 5, "version": "v1", "kind": "application"}"#
                } else {
                    *status.lock().expect("not poisoned")
                };
                let answer =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_listed_engine_reaches_every_view_and_so_does_its_drain() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let status =
        Arc::new(Mutex::new(r#"{"ready": true, "draining": false, "slots": 8, "running": 0}"#));
    tokio::spawn(serve_engine(listener, status.clone()));
    let list = tempfile::NamedTempFile::new().expect("a scratch file");
    let text = format!(r#"{{"engines": [{{"address": "{address}", "zone": "z2"}}]}}"#);
    std::fs::write(list.path(), text).expect("written");

    let cluster = Cluster::new(21).await;
    let place = RpcServer::bind(([127, 21, 0, 200], 0).into()).await.expect("loopback");
    let source = list.path().display().to_string();
    let core = cluster.start_on(NodeRole::Core, &[], place, Some(source));
    let gateway = cluster.start(NodeRole::Gateway, &[core.rpc()]).await;
    let id: EngineId = "n1".parse().expect("valid");
    let seen = || gateway.view().engines.get(&id).cloned();
    eventually("the engine is in the view", || seen().is_some_and(|e| e.healthy)).await;
    let engine = seen().expect("just seen");
    assert_eq!((engine.address, engine.zone.as_str()), (address, "z2"));
    *status.lock().expect("not poisoned") =
        r#"{"ready": true, "draining": true, "slots": 8, "running": 0}"#;
    eventually("its drain is in the view", || seen().is_some_and(|e| e.draining)).await;
}
