//! Turn and session streams of the fake engine, with scripted faults.

use std::time::Duration;

use hooklug_protocol::engine::{EngineRefusal, Join, JoinItem, RunTurn, TurnItem};
use hooklug_rpc::ItemSink;
use hooklug_state::shard::{EventBody, TurnRecord, TurnState};
use hooklug_types::*;

use super::Host;

impl Host {
    pub(super) async fn run_turn(&self, request: RunTurn, sink: ItemSink<TurnItem>) {
        let refused = |refusal| TurnItem::Refused { refusal, load: self.load() };
        let started = match self.receive("run_turn") {
            Ok(()) => self.begin(&request).await,
            Err(refusal) => Err(refusal),
        };
        let turn = match started {
            Ok(turn) => turn,
            Err(refusal) => {
                let _ = sink.send(&refused(refusal)).await;
                return;
            }
        };
        let accepted = TurnItem::Accepted { turn: turn.clone(), load: self.load() };
        if sink.send(&accepted).await.is_err() {
            return;
        }
        if turn.state == TurnState::Open && turn.tokens.0 == 0 {
            let (host, request) = (self.clone(), request.clone());
            tokio::spawn(async move { host.generate(&request).await });
        }
        self.stream_turn(&request, &turn, &sink).await;
    }

    /// Generates `max_tokens` tokens, one per event, then ends the turn.
    pub(super) async fn generate(&self, request: &RunTurn) {
        let (hold, fail) = {
            let script = self.script.lock().expect("lock is poisoned");
            (script.hold_turns, script.fail_turns)
        };
        let key = &request.location.key;
        let count = if fail { 0 } else { request.max_tokens.0 };
        for index in 0..count {
            let Ok(permit) = self.tokens.acquire().await else { return };
            permit.forget();
            let record = self.session(key).await;
            let text = format!("{} ", index + 1);
            let body = EventBody::Tokens { text, count: TokenCount(1) };
            if self.append(&record, Some(request.turn.clone()), body).await.is_err() {
                return;
            }
        }
        if hold {
            return;
        }
        let reason = match fail {
            true => EndReason::Failed { code: FailureCode::BackendError },
            false => EndReason::Finished,
        };
        let _ = self.finish(key, self.session(key).await.epoch, &request.turn, reason).await;
    }

    pub(super) async fn stream_turn(
        &self,
        request: &RunTurn,
        turn: &TurnRecord,
        sink: &ItemSink<TurnItem>,
    ) {
        let (cut, skip, twice) = {
            let mut script = self.script.lock().expect("lock is poisoned");
            (script.cut_streams_after.pop_front(), script.skip_event.take(), script.send_twice)
        };
        let mut last = EventSeq(turn.started.0.saturating_sub(1)).max(request.last_seen);
        let mut sent = 0;
        loop {
            for event in self.events(&request.location.key, last).await {
                last = event.seq;
                if event.turn.as_ref() != Some(&request.turn) {
                    continue;
                }
                if cut == Some(sent) {
                    return;
                }
                let ended = matches!(event.body, EventBody::TurnEnded { .. });
                let copies = if twice { 2 } else { 1 };
                for _ in 0..copies {
                    if skip == Some(sent) {
                        break;
                    }
                    if sink.send(&TurnItem::Event(event.clone())).await.is_err() {
                        return;
                    }
                }
                sent += 1;
                if ended {
                    return;
                }
            }
            if cut == Some(sent) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub(super) async fn join(&self, request: Join, sink: ItemSink<JoinItem>) {
        if let Err(refusal) = self.receive("join") {
            let _ = sink.send(&JoinItem::Refused(refusal)).await;
            return;
        }
        let key = request.location.key;
        let record = self.session(&key).await;
        if record.owner.as_ref() != Some(&self.me) {
            let refusal = EngineRefusal::NotOwner { record: Some(Box::new(record)) };
            let _ = sink.send(&JoinItem::Refused(refusal)).await;
            return;
        }
        let mut last = request.last_seen.unwrap_or_default();
        if request.last_seen.is_none() {
            let history = self.events(&key, EventSeq(0)).await;
            last = history.last().map_or(EventSeq(0), |event| event.seq);
            let sync = JoinItem::Sync { record: Box::new(record), history };
            if sink.send(&sync).await.is_err() {
                return;
            }
        }
        loop {
            for event in self.events(&key, last).await {
                last = event.seq;
                if sink.send(&JoinItem::Event(event)).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                () = sink.closed() => return,
                () = tokio::time::sleep(Duration::from_millis(2)) => {}
            }
        }
    }
}
