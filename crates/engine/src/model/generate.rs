//! Runs generations on the model server and reports their events.

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

use super::connection::ModelConnection;
use super::identity::{BackendIdentity, BackendKind};
use super::request::GenerateBody;
use super::response::ResponseValidator;

const REQUEST_HEADER: &str = "x-hooklug-request";
const EXPECT_HEADER: &str = "x-hooklug-expect";
const ENGINE_HEADER: &str = "x-hooklug-engine";
const DEADLINE_HEADER: &str = "x-hooklug-deadline-ms";
const REFUSED_HEADER: &str = "x-hooklug-refused";
const RESPONSE_CONTENT_TYPE: &str = "application/x-ndjson";

/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Client of one model server, with a pool of idle connections.
#[derive(Debug)]
pub struct ModelClient {
    address: SocketAddr,
    service: ServiceName,
    /// Identity that responses must come from; set by the probe to what the server reported.
    expected: watch::Sender<Option<BackendIdentity>>,
    idle: Mutex<Vec<ModelConnection>>,
}

impl ModelClient {
    /// Creates a client of the server at an address; the server must belong to the given service.
    #[must_use]
    pub fn new(address: SocketAddr, service: ServiceName) -> Self {
        Self { address, service, expected: watch::Sender::new(None), idle: Mutex::default() }
    }

    /// The server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a server with this identity may be this engine's model server.
    #[must_use]
    pub fn accepts(&self, identity: &BackendIdentity) -> bool {
        identity.kind == BackendKind::Model && identity.service == self.service
    }

    /// Sets the expected identity. Idle connections are dropped when it changes.
    pub fn set_expected(&self, identity: Option<&BackendIdentity>) {
        let changed = self.expected.send_if_modified(|known| {
            let changed = known.as_ref() != identity;
            *known = identity.cloned();
            changed
        });
        if changed {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        }
    }

    /// Subscribes to the expected identity.
    #[must_use]
    pub fn watch_expected(&self) -> watch::Receiver<Option<BackendIdentity>> {
        self.expected.subscribe()
    }

    /// Runs one generation to its end; the last event is `End`, `Failed` or `Cut`. Dropping the future
    /// closes the connection, which aborts the generation.
    pub async fn generate(&self, request: &GenerationRequest, on_event: impl Fn(ModelEvent)) {
        let Some(mut connection) = self.get_connection().await else {
            on_event(ModelEvent::Failed(FailureCode::Unreachable));
            return;
        };
        let id = format!("r-{:032x}", rand::random::<u128>());
        let last = match self.send_request(&mut connection, request, &id).await {
            Ok(response) => {
                let (last, reusable) = read_response(response, id, &on_event).await;
                if reusable {
                    self.put_idle(connection);
                }
                last
            }
            Err(last) => last,
        };
        on_event(last);
    }

    /// Returns a connection to the expected server: an idle one, or a new one whose identity matches.
    async fn get_connection(&self) -> Option<ModelConnection> {
        let expected = self.expected.borrow().clone()?;
        while let Some(idle) = self.take_idle() {
            if idle.is_usable() && *idle.identity() == expected {
                return Some(idle);
            }
        }
        match ModelConnection::open(self.address).await {
            Ok(connection) if *connection.identity() == expected => Some(connection),
            // The same server, restarted since the last probe. Nothing was sent to it yet, so the
            // new incarnation can be accepted.
            Ok(connection) if self.is_restarted(connection.identity(), &expected) => {
                self.set_expected(Some(connection.identity()));
                Some(connection)
            }
            Ok(connection) => {
                warn!(
                    expected = %expected,
                    found = %connection.identity(),
                    "model server has an unexpected identity"
                );
                None
            }
            Err(error) => {
                debug!(%error, "cannot connect to the model server");
                None
            }
        }
    }

    fn is_restarted(&self, found: &BackendIdentity, expected: &BackendIdentity) -> bool {
        self.accepts(found) && found.engine == expected.engine
    }

    fn take_idle(&self) -> Option<ModelConnection> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn put_idle(&self, connection: ModelConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Sends the request and checks the head of the response.
    async fn send_request(
        &self,
        connection: &mut ModelConnection,
        request: &GenerationRequest,
        id: &str,
    ) -> Result<Response<Incoming>, ModelEvent> {
        let left = request.deadline.saturating_duration_since(std::time::Instant::now());
        let expected = connection.identity().to_string();
        let body =
            serde_json::to_vec(&GenerateBody::new(request)).map_err(|_| ModelEvent::Truncated)?;
        let http_request = Request::post("/generate")
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(REQUEST_HEADER, id)
            .header(EXPECT_HEADER, &expected)
            .header(DEADLINE_HEADER, millis(left))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| ModelEvent::Truncated)?;
        let response = connection.send(http_request).await.map_err(|error| {
            debug!(%error, "request to the model server failed");
            ModelEvent::Truncated
        })?;
        check_head(&response, id, &expected).map(|()| response)
    }
}

/// Checks that the head comes from the expected server, belongs to this request and starts a
/// stream.
fn check_head<B>(response: &Response<B>, id: &str, expected: &str) -> Result<(), ModelEvent> {
    let headers = response.headers();
    if header(headers, REQUEST_HEADER) != Some(id) {
        return Err(ModelEvent::Truncated);
    }
    let refuses =
        matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT);
    if refuses && header(headers, REFUSED_HEADER).is_some() {
        return Err(ModelEvent::Failed(FailureCode::Refused));
    }
    if header(headers, ENGINE_HEADER) != Some(expected) {
        return Err(ModelEvent::Truncated);
    }
    if response.status() != StatusCode::OK {
        return Err(ModelEvent::Failed(FailureCode::BackendError));
    }
    if header(headers, http::header::CONTENT_TYPE.as_str()) != Some(RESPONSE_CONTENT_TYPE) {
        return Err(ModelEvent::Truncated);
    }
    Ok(())
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads the body and reports its events, except for the last one. Returns the last event and
/// whether the connection can be reused.
async fn read_response(
    response: Response<Incoming>,
    id: String,
    on_event: &impl Fn(ModelEvent),
) -> (ModelEvent, bool) {
    let mut body = response.into_body();
    let mut validator = ResponseValidator::new(id);
    let mut events = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (ModelEvent::Truncated, false) };
        let Ok(bytes) = frame.into_data() else { continue };
        let pushed = validator.push(&bytes, &mut events);
        events.drain(..).for_each(on_event);
        if let Err(error) = pushed {
            warn!(%error, "invalid response from the model server");
            return (ModelEvent::Truncated, false);
        }
    }
    match validator.finish() {
        Ok(end) => (ModelEvent::End(end), true),
        Err(error) => {
            warn!(%error, "incomplete response from the model server");
            (ModelEvent::Truncated, false)
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
