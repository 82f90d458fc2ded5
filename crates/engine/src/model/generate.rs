//! Runs generations and turns their answers into messages of the session's loop.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hooklug_session::{GenerationRequest, ModelEvent};
use hooklug_types::{FailureCode, ServiceName};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::sync::watch;
use tracing::{debug, warn};

use super::answer::AnswerCheck;
use super::connection::ModelConnection;
use super::identity::{BackendIdentity, BackendKind};
use super::request::GenerateBody;

const REQUEST_HEADER: &str = "x-hooklug-request";
const EXPECT_HEADER: &str = "x-hooklug-expect";
const ENGINE_HEADER: &str = "x-hooklug-engine";
const DEADLINE_HEADER: &str = "x-hooklug-deadline-ms";
const REFUSED_HEADER: &str = "x-hooklug-refused";
const ANSWER_TYPE: &str = "application/x-ndjson";

/// Idle connections that are kept (ours).
const IDLE_CONNECTIONS: usize = 64;

/// The client of one model server.
#[derive(Debug)]
pub struct ModelClient {
    address: SocketAddr,
    service: ServiceName,
    /// Who is expected there; set by the probe, from the server's own word.
    expected: watch::Sender<Option<BackendIdentity>>,
    idle: Mutex<Vec<ModelConnection>>,
}

impl ModelClient {
    /// A client of the server at an address, which must be of the given service.
    #[must_use]
    pub fn new(address: SocketAddr, service: ServiceName) -> Self {
        Self { address, service, expected: watch::Sender::new(None), idle: Mutex::default() }
    }

    /// Where the server is.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether an identity may be this engine's model server at all.
    #[must_use]
    pub fn accepts(&self, identity: &BackendIdentity) -> bool {
        identity.kind == BackendKind::Model && identity.service == self.service
    }

    /// Notes who is there now; connections to another run are dropped.
    pub fn expect(&self, identity: Option<&BackendIdentity>) {
        let changed = self.expected.send_if_modified(|known| {
            let changed = known.as_ref() != identity;
            *known = identity.cloned();
            changed
        });
        if changed {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        }
    }

    /// Follows who is expected there.
    #[must_use]
    pub fn watch_expected(&self) -> watch::Receiver<Option<BackendIdentity>> {
        self.expected.subscribe()
    }

    /// Runs one generation to its end; the last event is an `End`, `Failed` or `Cut`. Dropping the
    /// future closes the connection, which aborts the generation.
    pub async fn generate(&self, request: &GenerationRequest, tell: impl Fn(ModelEvent)) {
        let Some(mut connection) = self.connection().await else {
            tell(ModelEvent::Failed(FailureCode::Unreachable));
            return;
        };
        let id = format!("r-{:032x}", rand::random::<u128>());
        let last = match self.exchange(&mut connection, request, &id).await {
            Ok(response) => {
                let (last, whole) = read_answer(response, id, &tell).await;
                if whole {
                    self.keep(connection);
                }
                last
            }
            Err(last) => last,
        };
        tell(last);
    }

    /// A connection to the expected server; an idle one, or a new one that has proven who answers.
    async fn connection(&self) -> Option<ModelConnection> {
        let expected = self.expected.borrow().clone()?;
        while let Some(idle) = self.take_idle() {
            if idle.is_usable() && *idle.identity() == expected {
                return Some(idle);
            }
        }
        match ModelConnection::open(self.address).await {
            Ok(connection) if *connection.identity() == expected => Some(connection),
            // The same server, started anew since the last probe: nothing was sent to it yet.
            Ok(connection) if self.is_new_run(connection.identity(), &expected) => {
                self.expect(Some(connection.identity()));
                Some(connection)
            }
            Ok(connection) => {
                warn!(expected = %expected, found = %connection.identity(), "another server answers");
                None
            }
            Err(error) => {
                debug!(%error, "no connection to the model server");
                None
            }
        }
    }

    fn is_new_run(&self, found: &BackendIdentity, expected: &BackendIdentity) -> bool {
        self.accepts(found) && found.engine == expected.engine
    }

    fn take_idle(&self) -> Option<ModelConnection> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn keep(&self, connection: ModelConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Sends the request and judges the head of its answer.
    async fn exchange(
        &self,
        connection: &mut ModelConnection,
        request: &GenerationRequest,
        id: &str,
    ) -> Result<Response<Incoming>, ModelEvent> {
        let left = request.deadline.saturating_duration_since(std::time::Instant::now());
        let expected = connection.identity().to_string();
        let body = serde_json::to_vec(&GenerateBody::new(request)).map_err(|_| ModelEvent::Cut)?;
        let sent = Request::post("/generate")
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(REQUEST_HEADER, id)
            .header(EXPECT_HEADER, &expected)
            .header(DEADLINE_HEADER, millis(left))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| ModelEvent::Cut)?;
        let response = connection.send(sent).await.map_err(|error| {
            debug!(%error, "the model server gave no answer");
            ModelEvent::Cut
        })?;
        judge_head(&response, id, &expected).map(|()| response)
    }
}

/// Whether the head is the expected server's own answer to this request, and a stream.
fn judge_head<B>(response: &Response<B>, id: &str, expected: &str) -> Result<(), ModelEvent> {
    let headers = response.headers();
    if header(headers, REQUEST_HEADER) != Some(id) {
        return Err(ModelEvent::Cut);
    }
    let refuses =
        matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT);
    if refuses && header(headers, REFUSED_HEADER).is_some() {
        return Err(ModelEvent::Failed(FailureCode::Refused));
    }
    if header(headers, ENGINE_HEADER) != Some(expected) {
        return Err(ModelEvent::Cut);
    }
    if response.status() != StatusCode::OK {
        return Err(ModelEvent::Failed(FailureCode::BackendError));
    }
    if header(headers, http::header::CONTENT_TYPE.as_str()) != Some(ANSWER_TYPE) {
        return Err(ModelEvent::Cut);
    }
    Ok(())
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads the body; the last event, and whether the connection may be used again.
async fn read_answer(
    response: Response<Incoming>,
    id: String,
    tell: &impl Fn(ModelEvent),
) -> (ModelEvent, bool) {
    let mut body = response.into_body();
    let mut check = AnswerCheck::new(id);
    let mut events = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (ModelEvent::Cut, false) };
        let Ok(bytes) = frame.into_data() else { continue };
        let taken = check.take(&bytes, &mut events);
        events.drain(..).for_each(tell);
        if let Err(error) = taken {
            warn!(%error, "the model server's answer is not one");
            return (ModelEvent::Cut, false);
        }
    }
    match check.finish() {
        Ok(end) => (ModelEvent::End(end), true),
        Err(error) => {
            warn!(%error, "the model server's answer is not whole");
            (ModelEvent::Cut, false)
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
