//! Sends tool calls, retries them after lost responses, resolves unknown outcomes and records them.

use std::time::Duration;

use hooklug_fleet::caller::{CallRequest, CallerError};
use hooklug_fleet::http::{Answer, HttpRequest};
use http::Method;
use serde_json::{Value, json};

use super::client::Client;
use super::now;
use crate::oracle::evidence::{CallClaim, CallRecord};

/// Time within which a program retries a call.
pub(super) const CALL_RETRY_TIME: Duration = Duration::from_secs(20);
/// Time within which a program retries a request for the state of a call.
const STATE_RETRY_TIME: Duration = Duration::from_secs(10);

/// A call that a program is about to make.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Id of the program.
    pub program: String,
    /// Id of the call.
    pub call: String,
    /// The tool and its arguments.
    pub request: CallRequest,
    /// Whether the route allows the call to run more than once.
    pub may_repeat: bool,
    /// Whether to send the call again through another gateway after it was answered.
    pub send_again: bool,
    /// Time within which the call is retried while responses are inconclusive.
    pub retry_time: Duration,
}

impl CallPlan {
    fn path(&self) -> String {
        format!("/v1/programs/{}/calls/{}", self.program, self.call)
    }
}

impl Client {
    /// Makes a call, records it and returns the application's response, if there is one.
    pub async fn run_call(&self, gateway: usize, plan: &CallPlan) -> Option<Value> {
        let sent_at = now();
        let request = HttpRequest::json(Method::PUT, plan.path(), &plan.request);
        let mut claims = vec![self.send_call(gateway, &request, plan.retry_time).await];
        let ended_at = now();
        if !plan.may_repeat {
            match &claims[0] {
                CallClaim::Answered { .. } if plan.send_again => {
                    claims.push(self.send_call(gateway + 1, &request, plan.retry_time).await);
                }
                CallClaim::Unknown => claims.push(self.read_state(gateway + 1, plan).await),
                CallClaim::Inconclusive(_) => claims.push(self.seal(gateway + 1, plan).await),
                _ => {}
            }
        }
        let answer = claims.iter().find_map(|claim| match claim {
            CallClaim::Answered { body, .. } => Some(body.clone()),
            _ => None,
        });
        self.recorder.lock().calls.push(CallRecord {
            call: format!("{}/{}", plan.program, plan.call),
            tool: plan.request.tool.clone(),
            arguments: plan.request.arguments.clone(),
            may_repeat: plan.may_repeat,
            sent_at,
            ended_at,
            claims,
        });
        answer
    }

    async fn send_call(&self, gateway: usize, request: &HttpRequest, time: Duration) -> CallClaim {
        match self.send_with_retries(gateway, request, time).await {
            Ok(timed) => response_claim(&timed.response),
            Err(error) => error_claim(&error),
        }
    }

    /// Reads the recorded state of a call whose outcome is unknown.
    async fn read_state(&self, gateway: usize, plan: &CallPlan) -> CallClaim {
        let request = HttpRequest::new(Method::GET, plan.path());
        self.send_state_request(gateway, &request).await
    }

    /// Seals a call after inconclusive responses, so that it never runs unless it already has.
    async fn seal(&self, gateway: usize, plan: &CallPlan) -> CallClaim {
        let request = &plan.request;
        let body = json!({"tool": request.tool, "arguments": request.arguments});
        let request = HttpRequest::json(Method::POST, format!("{}/seal", plan.path()), &body);
        self.send_state_request(gateway, &request).await
    }

    async fn send_state_request(&self, gateway: usize, request: &HttpRequest) -> CallClaim {
        match self.send_with_retries(gateway, request, STATE_RETRY_TIME).await {
            Ok(timed) => state_claim(&timed.response),
            Err(error) => error_claim(&error),
        }
    }
}

fn response_claim(answer: &Answer) -> CallClaim {
    let body = serde_json::from_slice(&answer.body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&answer.body).into_owned()));
    CallClaim::Answered { status: answer.status.as_u16(), body }
}

/// Returns the outcome that the record of a call shows.
fn state_claim(answer: &Answer) -> CallClaim {
    let view: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match view["state"].as_str() {
        Some("answered") => CallClaim::Answered {
            status: view["status"].as_u64().and_then(|s| s.try_into().ok()).unwrap_or(0),
            body: view["body"].clone(),
        },
        Some(state @ ("not_run" | "refused")) => CallClaim::NotRun(state.to_owned()),
        Some("unknown") => CallClaim::Unknown,
        other => CallClaim::Inconclusive(other.unwrap_or("the response has no state").to_owned()),
    }
}

fn error_claim(error: &CallerError) -> CallClaim {
    let CallerError::Problem(problem) = error else {
        return CallClaim::Inconclusive(error.to_string());
    };
    let not_run = problem.outcome.as_deref() == Some("not_run");
    match problem.code.as_str() {
        "call_unknown" => CallClaim::Unknown,
        code if not_run || matches!(code, "call_refused" | "call_sealed") => {
            CallClaim::NotRun(code.to_owned())
        }
        code => CallClaim::Inconclusive(code.to_owned()),
    }
}
