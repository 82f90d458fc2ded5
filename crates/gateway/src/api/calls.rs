//! Handlers of `/v1/programs/{program}/calls/{call}`.

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use hooklug_bundle::{Bundle, Route};
use hooklug_state::shard::{CallRecord, ShardCommand, ShardRefusal, ShardReply};
use hooklug_types::RouteName;
use http::{HeaderName, HeaderValue, StatusCode, header};
use serde_json::Value;

use super::body::Fields;
use super::problem::{Code, Problem};
use super::refusals::RETRY_STORE;
use super::request::ApiRequest;
use super::{refusals, views};
use crate::backend::answer::Answer;
use crate::calls::non_repeatable::{CallResult, unknown};
use crate::calls::repeat_history::Repeatability;
use crate::calls::{CallRequest, content_digest};
use crate::shards::ShardError;
use crate::shared::Shared;

/// Response header with the call's state.
const STATE_HEADER: HeaderName = HeaderName::from_static("x-hooklug-call-state");

/// Maximum deadline that a caller may request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Maximum length of a tool name, in bytes.
const MAX_TOOL_BYTES: usize = 96;

/// Parsed body of a call.
struct CallBody {
    tool: String,
    arguments: Value,
    repeat: Option<bool>,
    deadline_ms: Option<u64>,
}

fn parse(mut fields: Fields) -> Result<CallBody, Problem> {
    let (tool, arguments) = tool_and_arguments(&mut fields)?;
    let repeat = fields.optional("repeat")?;
    let deadline_ms: Option<u64> = fields.optional("deadline_ms")?;
    fields.deny_unknown()?;
    if deadline_ms.is_some_and(|ms| ms == 0 || ms > MAX_DEADLINE_MS) {
        let detail = format!("must be between 1 and {MAX_DEADLINE_MS}");
        return Err(Problem::field(Code::BadField, "deadline_ms", detail));
    }
    Ok(CallBody { tool, arguments, repeat, deadline_ms })
}

fn tool_and_arguments(fields: &mut Fields) -> Result<(String, Value), Problem> {
    let tool: String = fields.required("tool")?;
    let arguments: Value = fields.required_value("arguments")?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    // The tool becomes part of a request path.
    if tool.is_empty() || tool.len() > MAX_TOOL_BYTES || !tool.chars().all(is_allowed) {
        let detail = format!("must have 1 to {MAX_TOOL_BYTES} letters, digits, '.', '_' or '-'");
        return Err(Problem::field(Code::BadField, "tool", detail));
    }
    if !arguments.is_object() {
        return Err(Problem::field(Code::BadField, "arguments", "must be a JSON object"));
    }
    Ok((tool, arguments))
}

fn tool_route<'a>(bundle: &'a Bundle, tool: &str) -> Result<(&'a RouteName, &'a Route), Problem> {
    bundle.tool_route(tool).ok_or_else(|| {
        Problem::field(Code::NoRoute, "tool", format!("no route serves tool {tool}"))
    })
}

pub(crate) async fn put(req: ApiRequest, fields: Fields) -> Result<Response, Problem> {
    let ApiRequest { shared, context, received_at, .. } = &req;
    let body = parse(fields)?;
    let (program, call) = req.own_call().await?;
    let (route_name, route) = tool_route(&context.bundle.bundle, &body.tool)?;
    let max_ms = route.deadline_ms;
    let allowed = Duration::from_millis(body.deadline_ms.map_or(max_ms, |ms| ms.min(max_ms)));
    let request = CallRequest {
        program,
        call,
        tenant: context.caller.tenant.clone(),
        arguments: Bytes::from(body.arguments.to_string()),
        tool: body.tool,
        route: route_name.clone(),
        service: route.service.clone(),
        urgent: route.urgent,
        deadline: *received_at + allowed,
    };
    let history = &shared.calls.history;
    if route.may_repeat
        && body.repeat != Some(false)
        && history.repeatability(&context.bundle, &request.tool, route).await
            == Some(Repeatability::Repeatable)
    {
        return Ok(answer_response(&shared.calls.call_repeatable(&request).await?));
    }
    shared.check_store_reachable()?;
    result_response(shared.calls.call_non_repeatable(request).await?)
}

/// Forwards the application's response unchanged.
fn answer_response(answer: &Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, answer.body.clone()).into_response();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(STATE_HEADER, HeaderValue::from_static("answered"));
    response
}

fn result_response(result: CallResult) -> Result<Response, Problem> {
    match result {
        CallResult::Answered(answer) => Ok(answer_response(&answer)),
        CallResult::Refused(problem) => {
            let json = HeaderValue::from_static("application/problem+json");
            Ok((StatusCode::BAD_GATEWAY, [(header::CONTENT_TYPE, json)], problem).into_response())
        }
        CallResult::Unknown => Err(unknown("the call may have run; its response was lost")),
        CallResult::NotRun => {
            Err(Problem::not_run(Code::CallSealed, "the call was sealed: it did not run"))
        }
    }
}

pub(crate) async fn get(req: ApiRequest) -> Result<Response, Problem> {
    let shared = &req.shared;
    let (program, call) = req.own_call().await?;
    let deadline = Shared::shard_deadline();
    let record = shared.shards.call(&program, &call, deadline).await?;
    let record = record.ok_or_else(|| Problem::new(Code::NoCall, "no such call is recorded"))?;
    let record = shared.calls.complete_record(&program, record).await;
    Ok(axum::Json(views::call(&record)).into_response())
}

pub(crate) async fn seal(req: ApiRequest, mut fields: Fields) -> Result<Response, Problem> {
    let ApiRequest { shared, context, .. } = &req;
    let (tool, arguments) = tool_and_arguments(&mut fields)?;
    fields.deny_unknown()?;
    let (program, call) = req.own_call().await?;
    let (_, route) = tool_route(&context.bundle.bundle, &tool)?;
    let digest = content_digest(&tool, &arguments);
    let record = match shared.calls.history.repeatability(&context.bundle, &tool, route).await {
        None => {
            return Err(Problem::try_again(
                "the history of the installed bundle has not been read yet",
                RETRY_STORE,
            ));
        }
        Some(Repeatability::Repeatable) => return Err(calls_not_recorded()),
        Some(Repeatability::FormerlyRepeatable) => {
            let read = shared.shards.call(&program, &call, Shared::shard_deadline()).await?;
            let record = read.ok_or_else(calls_not_recorded)?;
            if record.digest != digest {
                return Err(refusals::from_shard(&ShardRefusal::CallDiffers));
            }
            record
        }
        Some(Repeatability::NonRepeatable) => {
            let command = ShardCommand::SealCall { program: program.clone(), call, digest };
            sealed_record(
                shared.shards.execute(&program, &command, Shared::shard_deadline()).await?,
            )?
        }
    };
    let record = shared.calls.complete_record(&program, record).await;
    Ok(axum::Json(views::call(&record)).into_response())
}

/// Rejects sealing a call of a tool that does not record its calls: such a call may have run.
fn calls_not_recorded() -> Problem {
    let detail = "calls of this tool are repeatable, now or under an earlier bundle, and are not recorded: \
                  they cannot be sealed";
    Problem::field(Code::CallRepeatable, "tool", detail)
}

fn sealed_record(reply: ShardReply) -> Result<CallRecord, Problem> {
    match reply {
        ShardReply::Call(record) => Ok(record),
        ShardReply::Refused(ShardRefusal::CallHeld { record }) => Ok(*record),
        ShardReply::Refused(refusal) => Err(refusals::from_shard(&refusal)),
        _ => Err(ShardError::Unexpected.into()),
    }
}
