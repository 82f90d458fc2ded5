//! End-to-end test of the gateway with real session-host engines and emulated backends, in one
//! process.

mod support;

use std::time::Duration;

use hooklug_control::{NodeContext, NodeHandle, NodeHandleChannels, Reachability};
use hooklug_emulator::model::{ModelOptions, ModelServer};
use hooklug_emulator::{ApplicationEngine as App, ApplicationOptions, FakeBackend, LedgerEntry};
use hooklug_engine::Engine;
use hooklug_protocol::control::{ApplicationEngine, Member, MemberHealth};
use hooklug_rpc::{LocalIdentity, RpcClient, RpcServer};
use hooklug_settings::{EngineSettings, GatewayMode};
use hooklug_types::*;
use serde_json::json;
use support::http::{self, SseEvent};
use support::{TestEnv, address, bundle, id, installed, loopback, settings};
use tokio_util::sync::CancellationToken;

/// A session-host engine and its emulated model server.
struct Host {
    model: FakeBackend,
    channels: NodeHandleChannels,
    serving: CancellationToken,
    running: tokio::task::JoinHandle<()>,
    member: Member,
}

impl Host {
    async fn start(env: &TestEnv, name: &str, version: &str, node: u64) -> Self {
        let model = ModelServer::start(ModelOptions {
            listen: loopback(),
            service: id("advisor"),
            engine: id(&format!("model-{name}")),
            version: id(version),
            seed: 7,
            slots: 8,
            queue: 64,
            first_token: Duration::from_millis(2),
            per_uncached_token: Duration::ZERO,
            prefix_tokens: 0,
            between_tokens: Duration::from_millis(5),
            load_factor: 0.0,
            ledger: None,
        });
        let model = model.await.expect("failed to bind a port");
        let listener = RpcServer::bind(loopback()).await.expect("failed to bind a port");
        let rpc = listener.local_addr().expect("no local address");
        let identity =
            LocalIdentity::new(address(NodeRole::Engine, node, rpc, "z1"), support::SECRET);
        let (handle, channels) = NodeHandle::new();
        channels.reach.send_replace(Reachability { core: true, store: true, newest_bundle: true });
        channels.bundle.send_replace(Some(installed(env.bundle.clone())));
        let mut own = settings(GatewayMode::Full);
        own.engine = Some(EngineSettings {
            id: id(name),
            service: id("advisor"),
            version: id(version),
            model_server: model.address(),
            slots: 8,
            drain_bound_ms: 900_000,
            unconnected_keep_ms: 600_000,
        });
        let ctx = NodeContext {
            settings: own.into(),
            identity: identity.clone(),
            client: RpcClient::new(identity.clone()),
            state: std::sync::Arc::new(env.state.clone()),
            node: handle,
            stop: CancellationToken::new(),
        };
        let engine = Engine::new(ctx).expect("invalid engine settings");
        let serving = CancellationToken::new();
        let server = RpcServer::new(listener, identity.clone(), engine.rpc_router());
        tokio::spawn(server.run(serving.clone()));
        let running = tokio::spawn(async move {
            let _ = engine.run().await;
        });
        let mut report = channels.report.clone();
        let is_ready = |r: &hooklug_control::NodeReport| r.engine.as_ref().is_some_and(|e| e.ready);
        let hosted = report.wait_for(is_ready).await.expect("no report").engine.clone();
        let member = Member {
            address: identity.address.clone(),
            health: MemberHealth::Alive,
            bundle: BundleVersion(3),
            engine: hosted,
        };
        Self { model, channels, serving, running, member }
    }

    /// Stops the engine abruptly, as a kill would.
    fn kill(&self) {
        self.running.abort();
        self.serving.cancel();
        self.model.stop();
    }
}

fn list(env: &mut TestEnv, host: &Host) {
    env.view.members.insert(host.member.address.node, host.member.clone());
    env.publish();
    assert!(host.channels.report.borrow().engine.is_some());
}

fn turn(name: &str, after: Option<&str>) -> serde_json::Value {
    json!({"turn": name, "after": after, "input": "vent or heat?", "max_tokens": 40})
}

fn check_contiguous(events: &[SseEvent], first: u64) {
    let ids: Vec<u64> = events.iter().map(|e| e.id).collect();
    let expected: Vec<u64> = (first..first + events.len() as u64).collect();
    assert_eq!(ids, expected);
}

#[tokio::test]
async fn a_session_continues_across_a_gateway_change_and_a_killed_engine() {
    let mut env = TestEnv::with(bundle(), GatewayMode::Full, 2).await;
    let first = Host::start(&env, "e1", "v2", 11).await;
    list(&mut env, &first);
    env.put_program("p1").await;
    let opened = env.open_session("p1", "s1").await;
    assert_eq!((opened.status, &opened.json["owner"]), (200, &json!("e1")), "{opened:?}");
    let path = "/v1/programs/p1/sessions/s1";

    let (events, complete) =
        http::post_turn(env.url(0), "p1/sessions/s1", &turn("t1", None)).await.rest().await;
    assert!(complete);
    check_contiguous(&events, 1);
    assert_eq!(events.last().unwrap().event, "finished");

    // A stream that was closed at one gateway resumes at the other.
    let body = turn("t2", Some("t1"));
    let mut cut = http::post_turn(env.url(0), "p1/sessions/s1", &body).await;
    let mut seen = vec![cut.next().await.unwrap().unwrap(), cut.next().await.unwrap().unwrap()];
    drop(cut);
    let last = seen.last().unwrap().id;
    let resumed = http::follow(env.url(1), &format!("{path}/turns/t2/events"), Some(last)).await;
    let (rest, complete) = resumed.rest().await;
    assert!(complete);
    seen.extend(rest);
    check_contiguous(&seen, events.len() as u64 + 1);

    // A killed owner's turn ends interrupted on the same stream, and the session continues.
    let second = Host::start(&env, "e2", "v2", 12).await;
    list(&mut env, &second);
    let body = turn("t3", Some("t2"));
    let mut stream = http::post_turn(env.url(1), "p1/sessions/s1", &body).await;
    let mut third =
        vec![stream.next().await.unwrap().unwrap(), stream.next().await.unwrap().unwrap()];
    first.kill();
    let (rest, complete) = stream.rest().await;
    assert!(complete);
    third.extend(rest);
    check_contiguous(&third, (events.len() + seen.len()) as u64 + 1);
    assert_eq!(third.last().unwrap().event, "interrupted");
    let (fourth, complete) =
        http::post_turn(env.url(0), "p1/sessions/s1", &turn("t4", Some("t3"))).await.rest().await;
    assert!(complete);
    assert_eq!(fourth.last().unwrap().event, "finished");

    // Joining returns the complete history in one sync.
    let mut joined = http::follow(env.url(0), &format!("{path}/events"), None).await;
    let sync = joined.next().await.unwrap().unwrap();
    let all = events.len() + seen.len() + third.len() + fourth.len();
    assert_eq!(sync.data["events"].as_array().unwrap().len(), all);
    let closed = http::delete(env.url(1), path).await;
    assert_eq!((closed.status, &closed.json["closed"]), (200, &json!(true)));
    let (rest, complete) = joined.rest().await;
    assert!(complete);
    assert_eq!(rest.last().unwrap().event, "closed");
    let tokens = |list: &[SseEvent]| list.last().unwrap().data["tokens"].as_u64().unwrap();
    let spent = http::get(env.url(0), "/v1/programs/p1").await.json["spent"].as_u64();
    assert_eq!(spent, Some([&events, &seen, &third, &fourth].map(|e| tokens(e)).iter().sum()));
}

#[tokio::test]
async fn calls_reach_the_emulated_application_and_run_once() {
    let mut env = TestEnv::new().await;
    let app = App::start(ApplicationOptions {
        listen: loopback(),
        service: id("farm"),
        engine: id("app-1"),
        version: id("v1"),
        run_time: Duration::from_millis(2),
        slots: 16,
        ledger: None,
    });
    let app = app.await.expect("failed to bind a port");
    let listed = ApplicationEngine {
        engine: id("app-1"),
        incarnation: app.identity().incarnation,
        service: id("farm"),
        version: id("v1"),
        address: app.address(),
        zone: id("z1"),
        draining: false,
        healthy: true,
    };
    env.view.engines.insert(listed.engine.clone(), listed);
    env.publish();
    env.put_program("p1").await;
    let body = json!({"tool": "send_alarm", "arguments": {"house": 4}});
    let first = http::put(env.url(0), "/v1/programs/p1/calls/c1", &body).await;
    let again = http::put(env.url(0), "/v1/programs/p1/calls/c1", &body).await;
    assert_eq!((first.status, again.status), (200, 200), "{first:?} {again:?}");
    assert_eq!(first.json, again.json);
    let ran = |lines: Vec<hooklug_emulator::LedgerLine>, name: &str| {
        let is_it =
            |e: &LedgerEntry| matches!(e, LedgerEntry::CallRan { call, .. } if call == name);
        lines.iter().filter(|line| is_it(&line.entry)).count()
    };
    assert_eq!(ran(app.ledger(), "p1/c1"), 1);
    // A lost response is found by the lookup, without another run.
    let lose = hooklug_emulator::FaultRule::always(hooklug_emulator::FaultKind::LoseAnswer);
    app.set_faults(hooklug_emulator::Faults { rules: vec![lose], ..Default::default() });
    let lost = http::put(env.url(0), "/v1/programs/p1/calls/c2", &body).await;
    app.set_faults(Default::default());
    assert!(lost.status == 200 || lost.code() == "call_unknown", "{lost:?}");
    let found = http::get(env.url(0), "/v1/programs/p1/calls/c2").await;
    assert_eq!(found.json["state"], "answered", "{found:?}");
    assert_eq!(ran(app.ledger(), "p1/c2"), 1);
}
