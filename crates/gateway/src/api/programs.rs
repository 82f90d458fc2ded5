//! Handlers of `/v1/programs/{program}`.

use axum::response::{IntoResponse, Response};
use hooklug_state::shard::{PutProgram, ShardCommand, ShardReply};
use hooklug_types::{ProgramId, TokenCount, UnixMillis};

use super::body::Fields;
use super::problem::{Code, Problem};
use super::request::ApiRequest;
use super::{refusals, views};
use crate::shards::ShardError;
use crate::shared::Shared;

pub(crate) async fn put(req: ApiRequest, mut fields: Fields) -> Result<Response, Problem> {
    let ApiRequest { shared, context, .. } = &req;
    let program: ProgramId = req.id("program")?;
    let token_budget = TokenCount(fields.required("token_budget")?);
    let end_time = UnixMillis(fields.required("end_time_ms")?);
    fields.deny_unknown()?;
    let command = ShardCommand::PutProgram(PutProgram {
        program: program.clone(),
        tenant: context.caller.tenant.clone(),
        group: context.caller.entry.group.clone(),
        token_budget,
        end_time,
    });
    match shared.shards.execute(&program, &command, Shared::shard_deadline()).await? {
        ShardReply::Program(record) => {
            shared.programs.learn(&record);
            Ok(axum::Json(views::program(&record)).into_response())
        }
        ShardReply::Refused(refusal) => Err(refusals::from_shard(&refusal)),
        _ => Err(ShardError::Unexpected.into()),
    }
}

pub(crate) async fn get(req: ApiRequest) -> Result<Response, Problem> {
    let ApiRequest { shared, context, .. } = &req;
    let program: ProgramId = req.id("program")?;
    let record = shared.shards.program(&program, Shared::shard_deadline()).await?;
    let own = record.filter(|record| record.tenant == context.caller.tenant);
    let record = own.ok_or_else(|| Problem::new(Code::NoProgram, "no such program"))?;
    Ok(axum::Json(views::program(&record)).into_response())
}
