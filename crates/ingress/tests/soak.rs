//! Seeded soak of gateways that share state and backends. Callers use their connections until the
//! gateway closes them, and leave at any moment; gateways are restarted, bundles change, the shard
//! is unavailable, commands and replies are held or lost, and backends reject, repeat and lose
//! responses, all in series that overlap.
//!
//! The seed is printed; `SOAK_SEEDS=7,8,9` runs other seeds.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hooklug_store::MemoryState;
use hooklug_types::shard_of;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::gateway::{BUDGET, Gateway, MAX_TURN_TOKENS, PROGRAM};
use support::{Behaviour, FakeBackend, HeldState, ID, Link, TOKENS_PER_EVENT, run_seeds};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

const BACKENDS: usize = 3;
const GATEWAYS: usize = 2;
const CALLERS: usize = 16;
const REQUESTS_PER_CALLER: usize = 40;
const SCRIPT_LENGTH: usize = 400;
const EVENTS: &[&str] = &["a", "b"];
const TOKEN_BUDGET: u64 = 60;

/// What a caller knows of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// A response with this status, and whether its body was complete.
    Status(u16, bool),
    /// The caller left, or the connection failed.
    None,
}

#[derive(Debug)]
struct Sent {
    id: String,
    /// The program, if the request is a turn.
    program: Option<String>,
    outcome: Outcome,
    /// Number of tokens received.
    tokens: u64,
}

fn script(rng: &mut ChaCha8Rng) -> Vec<Behaviour> {
    let mut behaviour = || match rng.random_range(0..10) {
        0 | 1 => Behaviour::AtCapacity,
        2 | 3 => Behaviour::AtCapacityTwice(rng.random_range(0..3)),
        4 => Behaviour::NoResponse,
        5 => Behaviour::EventsTruncated(EVENTS),
        6 => Behaviour::WrongRequest,
        _ => Behaviour::Events(EVENTS),
    };
    (0..SCRIPT_LENGTH).map(|_| behaviour()).collect()
}

/// A caller with one connection at a time, which it uses until it is closed.
struct Caller {
    name: String,
    gateways: Arc<Vec<Gateway>>,
    rng: ChaCha8Rng,
    connection: Option<SendRequest<Full<Bytes>>>,
    program: u32,
}

impl Caller {
    async fn run(mut self) -> Vec<Sent> {
        let mut sent = Vec::new();
        for number in 0..REQUESTS_PER_CALLER {
            let turn = self.rng.random_bool(0.6);
            let program = turn.then(|| format!("{}-{}", self.name, self.program));
            let id = format!("{}.{number}", self.name);
            let (outcome, tokens) = self.send(&id, program.as_deref()).await;
            if outcome == Outcome::Status(402, true) {
                self.program += 1;
            }
            sent.push(Sent { id, program, outcome, tokens });
        }
        sent
    }

    async fn send(&mut self, id: &str, program: Option<&str>) -> (Outcome, u64) {
        let patience = match self.rng.random_bool(0.3) {
            true => Duration::from_micros(self.rng.random_range(0..8_000)),
            false => support::TEST_TIMEOUT,
        };
        let Some(mut connection) = self.connect().await else { return (Outcome::None, 0) };
        let path = if program.is_some() { "/kept/x" } else { "/once/x" };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", support::HOST)
            .header(ID, id)
            .header(BUDGET, TOKEN_BUDGET);
        if let Some(program) = program {
            request = request.header(PROGRAM, program);
        }
        let request = request.body(Full::new(Bytes::from_static(b"input"))).unwrap();
        let mut received = Vec::new();
        let exchange = async {
            let mut response = connection.send_request(request).await.ok()?;
            let status = response.status().as_u16();
            while let Some(frame) = response.frame().await {
                let Ok(frame) = frame else { return Some(Outcome::Status(status, false)) };
                received.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
            }
            Some(Outcome::Status(status, true))
        };
        let outcome = timeout(patience, exchange).await.ok().flatten();
        if matches!(outcome, Some(Outcome::Status(_, true))) {
            self.connection = Some(connection);
        }
        let events = String::from_utf8_lossy(&received).matches("data: ").count() as u64;
        (outcome.unwrap_or(Outcome::None), events * TOKENS_PER_EVENT)
    }

    async fn connect(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(mut connection) = self.connection.take()
            && connection.ready().await.is_ok()
        {
            return Some(connection);
        }
        let gateway = self.rng.random_range(0..self.gateways.len());
        let stream = TcpStream::connect(self.gateways[gateway].address()).await.ok()?;
        let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        Some(connection)
    }
}

/// Restarts the gateways, one after another, and installs bundles.
async fn restart_gateways(
    gateways: Arc<Vec<Gateway>>,
    backends: Arc<Vec<FakeBackend>>,
    mut rng: ChaCha8Rng,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let gateway = &gateways[rng.random_range(0..gateways.len())];
        sleep(Duration::from_millis(rng.random_range(0..150))).await;
        gateway.install_bundle();
        if rng.random_bool(0.5) {
            gateway.restart(&backends).await;
        }
    }
}

/// Makes the state unavailable for a while, and holds or loses commands and replies.
async fn disturb_state(state: HeldState, mut rng: ChaCha8Rng, stop: CancellationToken) {
    let links = [Link::Passes, Link::LosesReply, Link::HoldsCommand, Link::HoldsCopy];
    while !stop.is_cancelled() {
        state.set_link(links[rng.random_range(0..links.len())]);
        sleep(Duration::from_millis(rng.random_range(0..40))).await;
        state.set_link(Link::Passes);
        let shard = shard_of(&format!("c{}-0", rng.random_range(0..CALLERS)));
        state.memory().set_available(shard, false);
        sleep(Duration::from_millis(rng.random_range(0..40))).await;
        state.memory().set_available(shard, true);
        state.deliver().await;
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
}

async fn check_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut next_rng = || ChaCha8Rng::seed_from_u64(rng.random());
    let state = HeldState::new(MemoryState::default());
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        backends.push(FakeBackend::start(&format!("e{number}"), &script(&mut next_rng())).await);
    }
    let backends = Arc::new(backends);
    let mut gateways = Vec::new();
    for _ in 0..GATEWAYS {
        gateways.push(Gateway::start(&state, &backends).await);
    }
    let gateways = Arc::new(gateways);
    let stop = CancellationToken::new();
    let restarts = restart_gateways(gateways.clone(), backends.clone(), next_rng(), stop.clone());
    let restarts = tokio::spawn(restarts);
    let disturbances = tokio::spawn(disturb_state(state.clone(), next_rng(), stop.clone()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| Caller {
            name: format!("c{number}"),
            gateways: gateways.clone(),
            rng: next_rng(),
            connection: None,
            program: 0,
        })
        .map(|caller| tokio::spawn(caller.run()))
        .collect();
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.expect("no panic"));
    }
    stop.cancel();
    restarts.await.expect("no panic");
    disturbances.await.expect("no panic");
    let Ok(gateways) = Arc::try_unwrap(gateways) else { panic!("the gateways are still used") };
    for gateway in gateways {
        gateway.stop().await;
    }
    state.deliver().await;
    check(seed, &sent, &backends);
}

fn check(seed: u64, sent: &[Sent], backends: &[FakeBackend]) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for executed in backends.iter().flat_map(FakeBackend::executed) {
        *runs.entry(executed.id).or_default() += 1;
    }
    let runs_of = |id: &str| runs.get(id).copied().unwrap_or(0);
    let mut refused = 0;
    for request in sent {
        let runs = runs_of(&request.id);
        assert!(runs <= 1, "seed {seed}: {request:?} ran {runs} times");
        let not_run = matches!(request.outcome, Outcome::Status(503 | 402, _));
        assert!(!not_run || runs == 0, "seed {seed}: {request:?} ran");
        refused += u64::from(matches!(request.outcome, Outcome::Status(402, _)));
    }
    let mut programs: BTreeMap<&str, Vec<&Sent>> = BTreeMap::new();
    for request in sent {
        if let Some(program) = &request.program {
            programs.entry(program).or_default().push(request);
        }
    }
    for (program, turns) in programs {
        let tokens: u64 = turns.iter().map(|turn| turn.tokens).sum();
        let most = TOKEN_BUDGET + MAX_TURN_TOKENS;
        assert!(tokens < most, "seed {seed}: {program} got {tokens} tokens");
        // Turns whose responses were not complete count at their most if they reached an engine.
        let unfinished = |turn: &&&Sent| {
            !matches!(turn.outcome, Outcome::Status(200, true)) && runs_of(&turn.id) > 0
        };
        let complete: u64 = turns.iter().filter(|turn| !unfinished(turn)).map(|t| t.tokens).sum();
        let counted = complete + turns.iter().filter(unfinished).count() as u64 * MAX_TURN_TOKENS;
        let is_refused = turns.iter().any(|turn| matches!(turn.outcome, Outcome::Status(402, _)));
        assert!(
            !is_refused || counted >= TOKEN_BUDGET,
            "seed {seed}: {program} was refused although only {counted} tokens count: {turns:#?}"
        );
    }
    println!(
        "seed {seed}: {} requests, {} ran, {refused} refused by budget",
        sent.len(),
        runs.len()
    );
}

/// Guards against calls and turns that run twice or are falsely reported as not run, and against
/// budgets that are exceeded or refused too early.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_while_callers_leave_and_gateways_restart() {
    run_seeds(check_seed).await;
}
