//! Writes records of programs, sessions and turns to real shards.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail};
use futures::stream::TryStreamExt;
use hooklug_protocol::control::NodeAddress;
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_state::shard::{
    BeginTurn, EventBody, FinishTurn, OpenSession, PutProgram, ShardCommand, ShardReply,
};
use hooklug_store::{StateAccess, StoreClient};
use hooklug_types::{
    Digest, EndReason, EngineId, EngineIncarnation, EventSeq, GroupId, Incarnation, NodeId,
    NodeRole, ProgramId, ServiceName, ServiceVersion, SessionEpoch, SessionId, SessionKey,
    TenantId, TokenCount, TurnId, UnixMillis, shard_of,
};
use rand::RngExt;
use serde_json::json;

use super::{ClusterAccess, TestCluster};
use crate::slopes::report::Report;

/// Timeout of one command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of programs per command.
const PROGRAMS_PER_COMMAND: usize = 64;
/// Maximum number of commands in flight.
const MAX_CONCURRENT_COMMANDS: usize = 32;
/// Number of token events in the turn of each program.
const EVENTS_PER_PROGRAM: u64 = 8;

/// Writes to the shards as engines and gateways do.
#[derive(Debug, Clone)]
pub(crate) struct RecordWriter {
    state: Arc<StoreClient>,
}

impl RecordWriter {
    /// Creates a writer that uses a fleet's stores.
    pub(crate) fn new(access: &ClusterAccess) -> anyhow::Result<Self> {
        let mut rpc = access.settings.rpc;
        rpc.set_ip(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST));
        let address = NodeAddress {
            node: NodeId(rand::rng().random()),
            incarnation: Incarnation::at_start(),
            role: NodeRole::Engine,
            rpc,
            http: rpc,
            zone: access.settings.zone.clone(),
        };
        let identity = LocalIdentity::new(address, access.settings.cluster_secret.reveal());
        let stores = tokio::sync::watch::Sender::new(access.stores.clone());
        let client = RpcClient::new(identity);
        Ok(Self { state: Arc::new(StoreClient::new(client, stores.subscribe())) })
    }

    /// Applies a command. A refusal is an error.
    pub(crate) async fn execute(
        &self,
        group: GroupId,
        command: &ShardCommand,
    ) -> anyhow::Result<()> {
        let deadline = tokio::time::Instant::now() + COMMAND_TIMEOUT;
        let reply = self.state.execute_shard(group, command, deadline).await?;
        let replies = match reply {
            ShardReply::Batch(replies) => replies,
            single => vec![single],
        };
        match replies.into_iter().find(|reply| matches!(reply, ShardReply::Refused(_))) {
            Some(refused) => bail!("{group} refused a command: {refused:?}"),
            None => Ok(()),
        }
    }
}

/// A program with one session and one turn, and the commands that create them.
#[derive(Debug, Clone)]
pub(crate) struct ProgramRecords {
    /// Id of the program.
    pub(crate) program: ProgramId,
    key: SessionKey,
    turn: TurnId,
}

impl ProgramRecords {
    /// Creates the n-th program of a series.
    pub(crate) fn new(series: &str, n: usize) -> anyhow::Result<Self> {
        let program = ProgramId::new(format!("{series}-{n:07}"))?;
        let key = SessionKey { program: program.clone(), session: SessionId::new("main")? };
        Ok(Self { program, key, turn: TurnId::new("t1")? })
    }

    /// Returns the shard that the program belongs to.
    pub(crate) fn group(&self) -> GroupId {
        shard_of(self.program.as_str())
    }

    /// Returns the command that declares the program.
    pub(crate) fn put_program(&self) -> anyhow::Result<ShardCommand> {
        Ok(ShardCommand::PutProgram(PutProgram {
            program: self.program.clone(),
            tenant: TenantId::new("first")?,
            group: None,
            token_budget: TokenCount(1_000_000_000),
            end_time: UnixMillis(u64::MAX / 2),
        }))
    }

    /// Returns the command that opens the session.
    pub(crate) fn open_session(&self) -> anyhow::Result<ShardCommand> {
        let engine = EngineId::new("engine-0")?;
        Ok(ShardCommand::OpenSession(OpenSession {
            key: self.key.clone(),
            owner: EngineIncarnation { engine, incarnation: Incarnation(1) },
            service: ServiceName::new("model-0")?,
            version: ServiceVersion::new("v1")?,
            prefix: None,
        }))
    }

    /// Returns the command that starts the turn.
    pub(crate) fn begin_turn(&self) -> ShardCommand {
        ShardCommand::BeginTurn(BeginTurn {
            key: self.key.clone(),
            epoch: SessionEpoch(1),
            turn: self.turn.clone(),
            after: None,
            digest: Digest::of(b"input"),
            input: "what is the state of the pump?".to_owned(),
            max_tokens: TokenCount(100_000_000),
        })
    }

    /// Returns the command that appends events of one token each, from sequence number `first` on.
    /// The event of the turn itself has sequence number 1.
    pub(crate) fn append_events(&self, first: u64, events: u64) -> ShardCommand {
        let body = || EventBody::Tokens { text: " token".to_owned(), count: TokenCount(1) };
        ShardCommand::AppendEvents {
            key: self.key.clone(),
            epoch: SessionEpoch(1),
            turn: Some(self.turn.clone()),
            first_seq: EventSeq(first),
            bodies: (0..events).map(|_| body()).collect(),
        }
    }

    /// Returns the command that ends the turn.
    pub(crate) fn finish_turn(&self) -> ShardCommand {
        ShardCommand::FinishTurn(FinishTurn {
            key: self.key.clone(),
            epoch: SessionEpoch(1),
            turn: self.turn.clone(),
            reason: EndReason::Finished,
        })
    }

    fn all_commands(&self) -> anyhow::Result<[ShardCommand; 5]> {
        let events = self.append_events(2, EVENTS_PER_PROGRAM);
        Ok([
            self.put_program()?,
            self.open_session()?,
            self.begin_turn(),
            events,
            self.finish_turn(),
        ])
    }
}

/// Writes the records of `programs` programs to the shards and reports the cost.
pub(super) async fn write_records(
    report: &Report,
    cluster: &TestCluster,
    programs: usize,
) -> anyhow::Result<()> {
    let writer = RecordWriter::new(&ClusterAccess::of(&cluster.fleet)?)?;
    let mut by_group: std::collections::BTreeMap<GroupId, Vec<ProgramRecords>> =
        std::collections::BTreeMap::new();
    for n in 0..programs {
        let records = ProgramRecords::new("fill", n)?;
        by_group.entry(records.group()).or_default().push(records);
    }
    let (before, start_time) = (cluster.read_usage().await?, Instant::now());
    let chunks: Vec<(GroupId, Vec<ProgramRecords>)> = by_group
        .into_iter()
        .flat_map(|(group, all)| {
            let chunks: Vec<_> = all.chunks(PROGRAMS_PER_COMMAND).map(<[_]>::to_vec).collect();
            chunks.into_iter().map(move |chunk| (group, chunk))
        })
        .collect();
    let commands = chunks.len();
    futures::stream::iter(chunks.into_iter().map(Ok::<_, anyhow::Error>))
        .try_for_each_concurrent(MAX_CONCURRENT_COMMANDS, |(group, chunk)| {
            let writer = writer.clone();
            async move {
                let mut batch = Vec::new();
                for records in &chunk {
                    batch.extend(records.all_commands()?);
                }
                writer.execute(group, &ShardCommand::Batch(batch)).await
            }
        })
        .await?;
    let seconds = start_time.elapsed().as_secs_f64();
    let real = cluster.read_usage().await?.since(&before);
    let stores = real.role("store");
    let replicas = 3.0 * programs as f64;
    let fields = json!({
        "programs": programs,
        "events_a_program": EVENTS_PER_PROGRAM + 2,
        "commands": commands,
        "seconds": seconds,
        "store_resident_bytes_a_program_and_replica": stores.resident_bytes / replicas,
        "real": real,
    });
    if programs == 0 {
        return Err(anyhow!("the number of programs is zero"));
    }
    report.line("records", &fields)
}
