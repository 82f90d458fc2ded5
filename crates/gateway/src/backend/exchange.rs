//! Sends one request to one application engine and validates its response.

use bytes::Bytes;
use hooklug_types::{CallAttempt, CallId, ProgramId};
use http::{HeaderValue, Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use super::Target;
use super::answer::{
    ATTEMPT_HEADER, Answer, CALL_HEADER, DEADLINE_HEADER, EXPECT_HEADER, MAX_ANSWER_BYTES,
    REQUEST_HEADER, Refusal, ResponseHead, validate_body, validate_head,
};
use super::pool::{Connection, Pool};

/// A request to an application engine.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// `POST` for calls, `GET` for lookups.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON body.
    pub body: Bytes,
    /// Call and attempt; absent for lookups.
    pub call: Option<AttemptKey>,
}

/// Identifies a call and its attempt in request headers.
#[derive(Debug, Clone)]
pub struct AttemptKey {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// The attempt.
    pub attempt: CallAttempt,
}

/// Why there is no valid response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was written.
    #[error("request to the application engine was not sent: {0}")]
    NotSent(String),
    /// The engine reported that it did not run the request and will not.
    #[error("application engine refused the request: {0:?}")]
    Refused(Refusal),
    /// Any other failure: the request may have run.
    #[error("no valid response from the application engine: {0}")]
    Lost(String),
}

fn lost(error: impl std::fmt::Display) -> ExchangeError {
    ExchangeError::Lost(error.to_string())
}

fn not_sent(error: impl std::fmt::Display) -> ExchangeError {
    ExchangeError::NotSent(error.to_string())
}

impl Pool {
    /// Sends a request and waits for its complete response until the deadline.
    ///
    /// # Errors
    /// [`ExchangeError`]; only `NotSent` and `Refused` guarantee that the request did not run.
    pub async fn exchange(
        &self,
        target: &Target,
        dispatch: &Dispatch,
        deadline: Instant,
    ) -> Result<Answer, ExchangeError> {
        let connection = self.get(target, deadline).await.map_err(not_sent)?;
        timeout_at(deadline, self.wait_for_link(target.address.ip()))
            .await
            .map_err(|_| not_sent("the deadline has passed"))?;
        let request_id = format!("{:032x}", rand::rng().random::<u128>());
        let request = build_request(target, dispatch, &request_id, deadline).map_err(not_sent)?;
        let exchange = self.send(target, connection, request, &request_id);
        timeout_at(deadline, exchange).await.map_err(|_| lost("the deadline has passed"))?
    }

    async fn send(
        &self,
        target: &Target,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        request_id: &str,
    ) -> Result<Answer, ExchangeError> {
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // The request is returned only if the connection closed before accepting it.
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                return Err(if unsent { not_sent(error) } else { lost(error) });
            }
        };
        self.wait_for_link(target.address.ip()).await;
        let (head, body) = response.into_parts();
        let validated = validate_head(head.status, &head.headers, request_id, &target.identity());
        let length = match validated.map_err(lost)? {
            ResponseHead::Answer { length } => length,
            ResponseHead::Refused(refusal) => return Err(ExchangeError::Refused(refusal)),
        };
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(lost)?;
        let answer = validate_body(head.status, length, body.to_bytes()).map_err(lost)?;
        self.put_back(&target.run, connection);
        Ok(answer)
    }
}

fn build_request(
    target: &Target,
    dispatch: &Dispatch,
    request_id: &str,
    deadline: Instant,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut request = Request::builder()
        .method(dispatch.method.clone())
        .uri(&dispatch.path)
        .header(header::HOST, target.address.to_string())
        .header(REQUEST_HEADER, request_id)
        .header(EXPECT_HEADER, target.identity())
        .header(DEADLINE_HEADER, left.to_string());
    if dispatch.method == Method::POST {
        let json = HeaderValue::from_static("application/json");
        request = request.header(header::CONTENT_TYPE, json);
    }
    if let Some(name) = &dispatch.call {
        request = request
            .header(CALL_HEADER, format!("{}/{}", name.program, name.call))
            .header(ATTEMPT_HEADER, name.attempt.as_str());
    }
    request.body(Full::new(dispatch.body.clone()))
}
