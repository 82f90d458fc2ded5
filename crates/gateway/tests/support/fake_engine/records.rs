//! Shard queries and commands of the fake engine.

use hooklug_protocol::engine::{EngineRefusal, RunTurn};
use hooklug_state::shard::{
    self as state, BeginTurn, Event, EventBody, FinishTurn, ShardAnswer, ShardCommand, ShardQuery,
    ShardReply, TurnRecord, TurnState,
};
use hooklug_store::StateAccess;
use hooklug_types::*;

use super::Host;
use crate::support::test_deadline;

impl Host {
    pub(super) async fn execute(
        &self,
        program: &ProgramId,
        command: ShardCommand,
    ) -> Result<ShardReply, EngineRefusal> {
        let group = shard_of(program.as_str());
        match self.state.execute_shard(group, &command, test_deadline()).await {
            Ok(ShardReply::Refused(refusal)) => Err(EngineRefusal::Shard(refusal)),
            Ok(reply) => Ok(reply),
            Err(_) => Err(EngineRefusal::StoreUnavailable),
        }
    }

    pub(super) async fn session(&self, key: &SessionKey) -> state::SessionRecord {
        let query = ShardQuery::Session(key.clone());
        let group = shard_of(key.program.as_str());
        match self.state.query_shard(group, &query, test_deadline()).await {
            Ok(ShardAnswer::Session(Some(record))) => record,
            other => panic!("no session: {other:?}"),
        }
    }

    pub(super) async fn events(&self, key: &SessionKey, after: EventSeq) -> Vec<Event> {
        let query = ShardQuery::Events { key: key.clone(), after, limit: 1000 };
        let group = shard_of(key.program.as_str());
        match self.state.query_shard(group, &query, test_deadline()).await {
            Ok(ShardAnswer::Events { events, .. }) => events,
            other => panic!("no events: {other:?}"),
        }
    }

    pub(super) async fn finish(
        &self,
        key: &SessionKey,
        epoch: SessionEpoch,
        turn: &TurnId,
        reason: EndReason,
    ) -> Result<TurnRecord, EngineRefusal> {
        let command = ShardCommand::FinishTurn(FinishTurn {
            key: key.clone(),
            epoch,
            turn: turn.clone(),
            reason,
        });
        match self.execute(&key.program, command).await? {
            ShardReply::Turn(grant) => Ok(grant.existing.expect("turn has not ended")),
            other => panic!("unexpected reply: {other:?}"),
        }
    }

    pub(super) async fn append(
        &self,
        record: &state::SessionRecord,
        turn: Option<TurnId>,
        body: EventBody,
    ) -> Result<(), EngineRefusal> {
        let command = ShardCommand::AppendEvents {
            key: record.key.clone(),
            epoch: record.epoch,
            turn,
            first_seq: record.next_seq,
            bodies: vec![body],
        };
        self.execute(&record.key.program, command).await.map(drop)
    }

    pub(super) async fn begin(&self, request: &RunTurn) -> Result<TurnRecord, EngineRefusal> {
        let record = self.session(&request.location.key).await;
        if record.owner.as_ref() != Some(&self.me) {
            return Err(EngineRefusal::NotOwner { record: Some(Box::new(record)) });
        }
        let content = format!("{} {}", request.input, request.max_tokens);
        let command = ShardCommand::BeginTurn(BeginTurn {
            key: request.location.key.clone(),
            epoch: record.epoch,
            turn: request.turn.clone(),
            after: request.after.clone(),
            digest: Digest::of(content.as_bytes()),
            input: request.input.clone(),
            max_tokens: request.max_tokens,
        });
        match self.execute(&request.location.key.program, command).await? {
            ShardReply::Turn(grant) => Ok(grant.existing.unwrap_or(TurnRecord {
                turn: request.turn.clone(),
                after: request.after.clone(),
                digest: Digest::of(content.as_bytes()),
                started: grant.started,
                reserved: grant.reserved,
                tokens: TokenCount(0),
                state: TurnState::Open,
            })),
            other => panic!("unexpected reply: {other:?}"),
        }
    }
}
