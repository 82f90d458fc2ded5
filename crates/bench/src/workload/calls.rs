//! Sends tool calls, retries them after lost responses, resolves unknown outcomes and records them.

use std::time::Duration;

use hooklug_fleet::caller::{CallRequest, CallerError};
use hooklug_fleet::http::{Answer, Ask};
use http::Method;
use serde_json::{Value, json};

use super::client::Client;
use super::now;
use crate::oracle::evidence::{CallClaim, CallRecord};

/// Time within which a program retries a call.
pub(super) const CALL_TIME: Duration = Duration::from_secs(20);
/// Time within which a program retries a request for the state of a call.
const QUESTION_TIME: Duration = Duration::from_secs(10);

/// A call that a program is about to make.
#[derive(Debug, Clone)]
pub struct PlannedCall {
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
    pub patience: Duration,
}

impl PlannedCall {
    fn path(&self) -> String {
        format!("/v1/programs/{}/calls/{}", self.program, self.call)
    }
}

impl Client {
    /// Makes a call, records it and returns the application's response, if there is one.
    pub async fn run_call(&self, gateway: usize, planned: &PlannedCall) -> Option<Value> {
        let sent_at = now();
        let ask = Ask::json(Method::PUT, planned.path(), &planned.request);
        let mut claims = vec![self.claim(gateway, &ask, planned.patience).await];
        let ended_at = now();
        if !planned.may_repeat {
            match &claims[0] {
                CallClaim::Answered { .. } if planned.send_again => {
                    claims.push(self.claim(gateway + 1, &ask, planned.patience).await);
                }
                CallClaim::Unknown => claims.push(self.state(gateway + 1, planned).await),
                CallClaim::Inconclusive(_) => claims.push(self.seal(gateway + 1, planned).await),
                _ => {}
            }
        }
        let answer = claims.iter().find_map(|claim| match claim {
            CallClaim::Answered { body, .. } => Some(body.clone()),
            _ => None,
        });
        self.recorder.lock().calls.push(CallRecord {
            call: format!("{}/{}", planned.program, planned.call),
            tool: planned.request.tool.clone(),
            arguments: planned.request.arguments.clone(),
            may_repeat: planned.may_repeat,
            sent_at,
            ended_at,
            claims,
        });
        answer
    }

    async fn claim(&self, gateway: usize, ask: &Ask, time: Duration) -> CallClaim {
        match self.ask(gateway, ask, time).await {
            Ok(answered) => own_answer(&answered.answer),
            Err(error) => claim_of(&error),
        }
    }

    /// Reads the recorded state of a call whose outcome is unknown.
    async fn state(&self, gateway: usize, planned: &PlannedCall) -> CallClaim {
        let ask = Ask::new(Method::GET, planned.path());
        self.recorded(gateway, &ask).await
    }

    /// Seals a call after inconclusive responses, so that it never runs unless it already has.
    async fn seal(&self, gateway: usize, planned: &PlannedCall) -> CallClaim {
        let request = &planned.request;
        let body = json!({"tool": request.tool, "arguments": request.arguments});
        let ask = Ask::json(Method::POST, format!("{}/seal", planned.path()), &body);
        self.recorded(gateway, &ask).await
    }

    async fn recorded(&self, gateway: usize, ask: &Ask) -> CallClaim {
        match self.ask(gateway, ask, QUESTION_TIME).await {
            Ok(answered) => recorded_claim(&answered.answer),
            Err(error) => claim_of(&error),
        }
    }
}

fn own_answer(answer: &Answer) -> CallClaim {
    let body = serde_json::from_slice(&answer.body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&answer.body).into_owned()));
    CallClaim::Answered { status: answer.status.as_u16(), body }
}

/// Returns the outcome that the record of a call shows.
fn recorded_claim(answer: &Answer) -> CallClaim {
    let view: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match view["state"].as_str() {
        Some("answered") => CallClaim::Answered {
            status: view["status"].as_u64().and_then(|s| s.try_into().ok()).unwrap_or(0),
            body: view["body"].clone(),
        },
        Some(state @ ("not_run" | "refused")) => CallClaim::NotRun(state.to_owned()),
        Some("unknown") => CallClaim::Unknown,
        other => CallClaim::Inconclusive(other.unwrap_or("no state").to_owned()),
    }
}

fn claim_of(error: &CallerError) -> CallClaim {
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
