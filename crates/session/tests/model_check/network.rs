//! What is on its way between engines, the shard and callers, and its delivery.

use hooklug_session::{CommitId, Message};
use hooklug_state::shard::{SessionRecord, ShardCommand, ShardReply, TakeSession};
use hooklug_types::SessionId;

use crate::world::{Checked, World};

/// A message on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wire {
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
    /// Nobody waits for its answer any more.
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
    pub fn deliver(&mut self, wire: Wire) -> Checked {
        match wire {
            Wire::Request { engine, instance, ref session, commit, .. } => {
                let reply = self.apply(&wire);
                let session = session.clone();
                self.wires.push(Wire::Reply { engine, instance, session, commit, reply });
                Ok(())
            }
            Wire::Reply { engine, instance, session, commit, reply } => {
                self.tell_instance(engine, &session, instance, Message::Committed { commit, reply })
            }
            Wire::Uncertain { engine, instance, session, commit } => {
                self.tell_instance(engine, &session, instance, Message::CommitUncertain { commit })
            }
            Wire::Late { .. } => {
                self.apply(&wire);
                Ok(())
            }
            Wire::Call { caller, engine, message } => self.arrive(caller, engine, message),
            Wire::Take { engine, .. } => {
                if let ShardReply::Session(record) = self.apply(&wire) {
                    self.wires.push(Wire::Load { engine, record: Box::new(record) });
                }
                Ok(())
            }
            Wire::Load { engine, record } => {
                self.load(engine, &record);
                Ok(())
            }
        }
    }

    pub fn command_of(&self, wire: &Wire) -> ShardCommand {
        match wire {
            Wire::Request { command, .. } | Wire::Late { command } => command.clone(),
            Wire::Take { engine, record } => ShardCommand::TakeSession(TakeSession {
                key: record.key.clone(),
                expected_epoch: record.epoch,
                new_owner: self.engines[*engine].name.clone(),
                version: record.version.clone(),
            }),
            other => unreachable!("no command: {other:?}"),
        }
    }

    pub fn apply(&mut self, wire: &Wire) -> ShardReply {
        let command = self.command_of(wire);
        self.shard.apply_command(command)
    }

    /// The sender of a request learns that it may or may not have been applied.
    pub fn give_up(&mut self, wire: &Wire) {
        if let Wire::Request { engine, instance, session, commit, .. } = wire.clone() {
            self.wires.push(Wire::Uncertain { engine, instance, session, commit });
        }
    }

    pub fn connect(&mut self, number: usize, engine: usize) {
        let record = self.record(&self.callers[number].session);
        let owns = record.owner.as_ref() == Some(&self.engines[engine].name);
        let holds = self.engines[engine].loops.contains_key(&record.key.session);
        if !owns {
            self.wires.push(Wire::Take { engine, record: Box::new(record) });
        } else if !holds && !self.engines[engine].run_out {
            // An earlier answer was lost: the engine takes up what is its own.
            self.load(engine, &record);
        } else {
            let message = self.callers[number].message(number);
            self.callers[number].connected = Some(engine);
            self.wires.push(Wire::Call { caller: number, engine, message });
        }
    }

    pub fn arrive(&mut self, number: usize, engine: usize, message: Message) -> Checked {
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
        self.tell(engine, &session, message)?;
        match left {
            Some(client) => self.tell(engine, &session, Message::Leave { client }),
            None => Ok(()),
        }
    }

    pub fn break_connection(&mut self, number: usize, lost: usize) -> Checked {
        let client = self.callers[number].client(number);
        let session = self.callers[number].session.clone();
        let engine = self.callers[number].connected.take();
        let caller = &mut self.callers[number];
        caller.line += 1;
        caller.batches.truncate(caller.batches.len().saturating_sub(lost));
        match engine {
            Some(engine) => self.tell(engine, &session, Message::Leave { client }),
            None => Ok(()),
        }
    }
}
