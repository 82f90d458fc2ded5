//! Messages in transit between engines, the shard and callers, and their delivery.

use hooklug_session::{CommitId, Message};
use hooklug_state::shard::{SessionRecord, ShardCommand, ShardReply, TakeSession};
use hooklug_types::SessionId;

use crate::world::{CheckResult, World};

/// A message in transit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InTransit {
    Request {
        engine: usize,
        instance: u8,
        session: SessionId,
        commit: CommitId,
        command: ShardCommand,
    },
    Reply {
        engine: usize,
        instance: u8,
        session: SessionId,
        commit: CommitId,
        reply: ShardReply,
    },
    Uncertain {
        engine: usize,
        instance: u8,
        session: SessionId,
        commit: CommitId,
    },
    /// A request whose sender no longer waits for the reply.
    Late {
        command: ShardCommand,
    },
    Call {
        caller: usize,
        engine: usize,
        message: Message,
    },
    Take {
        engine: usize,
        record: Box<SessionRecord>,
    },
    Load {
        engine: usize,
        record: Box<SessionRecord>,
    },
}

impl World {
    pub fn deliver(&mut self, message: InTransit) -> CheckResult {
        match message {
            InTransit::Request { engine, instance, ref session, commit, .. } => {
                let reply = self.apply(&message);
                let session = session.clone();
                self.in_transit.push(InTransit::Reply { engine, instance, session, commit, reply });
                Ok(())
            }
            InTransit::Reply { engine, instance, session, commit, reply } => self.send_to_instance(
                engine,
                &session,
                instance,
                Message::Committed { commit, reply },
            ),
            InTransit::Uncertain { engine, instance, session, commit } => self.send_to_instance(
                engine,
                &session,
                instance,
                Message::CommitUncertain { commit },
            ),
            InTransit::Late { .. } => {
                self.apply(&message);
                Ok(())
            }
            InTransit::Call { caller, engine, message } => self.arrive(caller, engine, message),
            InTransit::Take { engine, .. } => {
                if let ShardReply::Session(record) = self.apply(&message) {
                    self.in_transit.push(InTransit::Load { engine, record: Box::new(record) });
                }
                Ok(())
            }
            InTransit::Load { engine, record } => {
                self.load(engine, &record);
                Ok(())
            }
        }
    }

    pub fn command_of(&self, message: &InTransit) -> ShardCommand {
        match message {
            InTransit::Request { command, .. } | InTransit::Late { command } => command.clone(),
            InTransit::Take { engine, record } => ShardCommand::TakeSession(TakeSession {
                key: record.key.clone(),
                expected_epoch: record.epoch,
                new_owner: self.engines[*engine].name.clone(),
                version: record.version.clone(),
            }),
            other => unreachable!("no command: {other:?}"),
        }
    }

    pub fn apply(&mut self, message: &InTransit) -> ShardReply {
        let command = self.command_of(message);
        self.shard.apply_command(command)
    }

    /// Notifies the sender of a request that the request may or may not have been applied.
    pub fn report_uncertain(&mut self, message: &InTransit) {
        if let InTransit::Request { engine, instance, session, commit, .. } = message.clone() {
            self.in_transit.push(InTransit::Uncertain { engine, instance, session, commit });
        }
    }

    pub fn connect(&mut self, number: usize, engine: usize) {
        let record = self.record(&self.callers[number].session);
        let owns = record.owner.as_ref() == Some(&self.engines[engine].name);
        let holds = self.engines[engine].loops.contains_key(&record.key.session);
        if !owns {
            self.in_transit.push(InTransit::Take { engine, record: Box::new(record) });
        } else if !holds && !self.engines[engine].lease_expired {
            // The engine owns the session, but the reply that granted it was lost: load the
            // session.
            self.load(engine, &record);
        } else {
            let message = self.callers[number].message(number);
            self.callers[number].connected = Some(engine);
            self.in_transit.push(InTransit::Call { caller: number, engine, message });
        }
    }

    pub fn arrive(&mut self, number: usize, engine: usize, message: Message) -> CheckResult {
        let session = self.callers[number].session.clone();
        let is_old = message != self.callers[number].message(number)
            || self.callers[number].connected != Some(engine);
        if !self.engines[engine].loops.contains_key(&session) && !is_old {
            self.callers[number].connected = None;
            return Ok(());
        }
        let left = match &message {
            Message::RunTurn { client, .. } | Message::Join { client, .. } if is_old => {
                Some(*client)
            }
            _ => None,
        };
        self.send(engine, &session, message)?;
        match left {
            Some(client) => self.send(engine, &session, Message::Leave { client }),
            None => Ok(()),
        }
    }

    pub fn break_connection(&mut self, number: usize, lost: usize) -> CheckResult {
        let client = self.callers[number].client(number);
        let session = self.callers[number].session.clone();
        let engine = self.callers[number].connected.take();
        let caller = &mut self.callers[number];
        caller.broken_connections += 1;
        caller.batches.truncate(caller.batches.len().saturating_sub(lost));
        match engine {
            Some(engine) => self.send(engine, &session, Message::Leave { client }),
            None => Ok(()),
        }
    }
}
