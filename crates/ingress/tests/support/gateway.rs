//! A gateway as its callers see it: an ingress behind the HTTP server, which can be stopped and
//! started again while callers use their connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hooklug_ingress::server::{Handler, serve};
use hooklug_ingress::{AnswerBody, Ingress, IngressAnswer, Refusal, TurnRequest};
use hooklug_types::{ProgramId, SessionId, TokenCount, TurnId};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::{FakeBackend, HeldState, ID, World, call};

/// Header with the program of a turn.
pub const PROGRAM: &str = "test-program";
/// Header with the token budget of a turn's program.
pub const BUDGET: &str = "test-budget";
/// Most tokens of a turn.
pub const MAX_TURN_TOKENS: u64 = 12;

/// Time limit of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Grace period of a stopped gateway.
const GRACE: Duration = Duration::from_millis(1_500);

struct IngressHandler(Arc<Ingress>);

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Handler for IngressHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let id = text(request.headers(), ID).expect("an id").to_owned();
        let turn = text(request.headers(), PROGRAM).map(|program| TurnRequest {
            program: ProgramId::new(program).unwrap(),
            session: SessionId::new("s").unwrap(),
            turn: TurnId::new(&id).unwrap(),
            after: None,
            token_budget: text(request.headers(), BUDGET).map(|b| TokenCount(b.parse().unwrap())),
            max_tokens: TokenCount(MAX_TURN_TOKENS),
        });
        let mut converted = call(request.uri().path(), &id);
        converted.turn = turn;
        converted.caller_timeout = Some(REQUEST_TIMEOUT);
        if request.into_body().collect().await.is_err() {
            return status(StatusCode::BAD_REQUEST);
        }
        match self.0.serve(&converted).await {
            IngressAnswer::Forwarded(head, body) => {
                let mut response = Response::new(body);
                *response.status_mut() = head.status;
                response
            }
            IngressAnswer::Refused(refusal) => status(match refusal {
                Refusal::NotConfigured { .. } | Refusal::NotRun { .. } => {
                    StatusCode::SERVICE_UNAVAILABLE
                }
                Refusal::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
                Refusal::NoRoute | Refusal::UnknownTurn => StatusCode::NOT_FOUND,
                Refusal::Malformed(_) => StatusCode::BAD_REQUEST,
                Refusal::ResponseLost(_) => StatusCode::BAD_GATEWAY,
                Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            }),
        }
    }

    fn refuse(&self) -> Response<AnswerBody> {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }

    fn idle_time(&self) -> Duration {
        Duration::from_secs(30)
    }
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}

struct Process {
    address: SocketAddr,
    world: World,
    stop: CancellationToken,
    serving: JoinHandle<()>,
}

/// A gateway that can be restarted. While it is stopping, its next process already accepts callers.
pub struct Gateway {
    state: HeldState,
    process: Mutex<Process>,
}

impl Gateway {
    pub async fn start(state: &HeldState, backends: &[FakeBackend]) -> Self {
        let process = start_process(state, backends).await;
        Self { state: state.clone(), process: Mutex::new(process) }
    }

    /// Address of the present process.
    pub fn address(&self) -> SocketAddr {
        self.process.lock().unwrap().address
    }

    /// Installs the bundle again, as after a change.
    pub fn install_bundle(&self) {
        self.process.lock().unwrap().world.install_bundle();
    }

    /// Starts the next process and stops the present one; returns when that has exited.
    pub async fn restart(&self, backends: &[FakeBackend]) {
        let next = start_process(&self.state, backends).await;
        let former = std::mem::replace(&mut *self.process.lock().unwrap(), next);
        exit(former).await;
    }

    /// Stops the gateway and waits until it has exited.
    pub async fn stop(self) {
        exit(self.process.into_inner().unwrap()).await;
    }
}

async fn start_process(state: &HeldState, backends: &[FakeBackend]) -> Process {
    let backends: Vec<&FakeBackend> = backends.iter().collect();
    let world = World::on_link(state, &backends).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to loopback");
    let address = listener.local_addr().expect("a bound address");
    let stop = CancellationToken::new();
    let handler = Arc::new(IngressHandler(world.ingress.clone()));
    let serving = tokio::spawn(serve(listener, handler, stop.clone(), GRACE));
    Process { address, world, stop, serving }
}

async fn exit(process: Process) {
    process.stop.cancel();
    process.serving.await.expect("no panic");
    process.world.ingress.finish().await;
}
