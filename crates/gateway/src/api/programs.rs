//! `/v1/programs/{program}`.

use std::sync::Arc;

use axum::Extension;
use axum::body::Body;
use axum::extract::{RawPathParams, State};
use axum::response::{IntoResponse, Response};
use hooklug_state::shard::{PutProgram, ShardCommand, ShardReply};
use hooklug_types::{ProgramId, TokenCount, UnixMillis};
use http::HeaderMap;

use super::admission::Admitted;
use super::body::{Fields, path_id};
use super::problem::{Code, Problem};
use super::{refusals, views};
use crate::shards::ShardError;
use crate::shared::Shared;

pub(crate) async fn put(
    State(shared): State<Arc<Shared>>,
    Extension(admitted): Extension<Admitted>,
    params: RawPathParams,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Problem> {
    let program: ProgramId = path_id(&params, "program")?;
    let mut fields = Fields::read(&headers, body, shared.body_limit()).await?;
    let token_budget = TokenCount(fields.required("token_budget")?);
    let end_time = UnixMillis(fields.required("end_time_ms")?);
    fields.finish()?;
    let command = ShardCommand::PutProgram(PutProgram {
        program: program.clone(),
        tenant: admitted.caller.tenant.clone(),
        group: admitted.caller.entry.group.clone(),
        token_budget,
        end_time,
    });
    match shared.shards.execute(&program, &command, Shared::state_deadline()).await? {
        ShardReply::Program(record) => {
            shared.programs.learn(&record);
            Ok(axum::Json(views::program(&record)).into_response())
        }
        ShardReply::Refused(refusal) => Err(refusals::ledger(&refusal)),
        _ => Err(ShardError::Unexpected.into()),
    }
}

pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Extension(admitted): Extension<Admitted>,
    params: RawPathParams,
) -> Result<Response, Problem> {
    let program: ProgramId = path_id(&params, "program")?;
    let record = shared.shards.program(&program, Shared::state_deadline()).await?;
    let own = record.filter(|record| record.tenant == admitted.caller.tenant);
    let record = own.ok_or_else(|| Problem::new(Code::NoProgram, "no such program"))?;
    Ok(axum::Json(views::program(&record)).into_response())
}
