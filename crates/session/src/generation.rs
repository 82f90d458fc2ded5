//! The generation of a turn: starts the model and handles its output.

use hooklug_state::shard::EventBody;
use hooklug_types::{EndReason, FailureCode, TokenCount};

use crate::effect::{Effect, GenerationRequest};
use crate::message::{GenerationId, ModelEnd, ModelEvent, TurnRequest};
use crate::phase::Phase;
use crate::session::{PendingEvent, Session};

impl Session {
    pub(crate) fn start_generation(&mut self, request: TurnRequest) {
        let generation = GenerationId(self.new_id());
        let Phase::Open(open) = &mut self.phase else { return };
        open.generation = Some(generation);
        let request = Box::new(GenerationRequest {
            key: self.record.key.clone(),
            turn: request.turn,
            prefix: self.record.prefix.clone(),
            history: self.history.before(open.record.started).to_vec(),
            input: request.input,
            max_tokens: open.record.reserved,
            deadline: request.deadline.min(self.program_end),
        });
        self.effects.push(Effect::StartGeneration { generation, request });
    }

    pub(crate) fn model_event(&mut self, generation: GenerationId, event: ModelEvent) {
        let Phase::Open(open) = &mut self.phase else { return };
        if open.generation != Some(generation) || open.end_reason.is_some() {
            return;
        }
        let body = match event {
            ModelEvent::Text { text, tokens } => {
                let total = TokenCount(open.generated.0.saturating_add(tokens.0));
                if total > open.record.reserved {
                    let reason = open.reason_at_limit(EndReason::Interrupted);
                    self.end_turn(reason);
                    return;
                }
                open.generated = total;
                EventBody::Tokens { text, count: tokens }
            }
            ModelEvent::Tool { tool, arguments } => EventBody::ToolRequested { tool, arguments },
            ModelEvent::End(end) => {
                // The generation has ended, so there is nothing to stop.
                open.generation = None;
                let reason = match end {
                    ModelEnd::Stop => EndReason::Finished,
                    ModelEnd::Length => open.reason_at_limit(EndReason::Finished),
                    ModelEnd::Error => EndReason::Failed { code: FailureCode::BackendError },
                };
                self.end_turn(reason);
                return;
            }
            ModelEvent::Failed(code) => {
                open.generation = None;
                self.end_turn(EndReason::Failed { code });
                return;
            }
            ModelEvent::Truncated => {
                open.generation = None;
                self.end_turn(EndReason::Interrupted);
                return;
            }
        };
        self.pending.push_back(PendingEvent { body, replies: Vec::new() });
    }
}
