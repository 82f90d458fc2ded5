//! Passes an engine's stream on, event by event, and records the turn before its end is shown.
//!
//! Events go out as they come. The end of the body waits for the commit of the whole turn on routes that keep turns:
//! a turn that its caller saw whole is never unknown afterwards.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::answer::{AnswerBody, Cut, IngressAnswer};
use crate::attempt::Answering;
use crate::backends::Outcome;
use crate::connections::Connections;
use crate::deadline::Times;
use crate::history_cache::HistoryCache;
use crate::ingress::{Ingress, Routing};
use crate::routes::NamedRoute;
use crate::sse::EventReader;
use crate::turns::{END_TIME, OpenTurn, joined};

/// Pieces that may wait for the caller's connection.
const PIECES_WAITING: usize = 16;

/// A stream on its way from an engine to a caller.
struct Passing {
    answering: Answering,
    pieces: mpsc::Sender<Result<Bytes, Cut>>,
    open: OpenTurn,
    events: EventReader,
    tokens_per_event: u64,
    /// The prompt and what was said so far, on routes that keep turns.
    kept: Option<Kept>,
    connections: Arc<Connections>,
    histories: Arc<HistoryCache>,
    end: Instant,
}

struct Kept {
    prompt: Bytes,
    output: BytesMut,
}

/// How the engine's part of a stream ended.
enum StreamEnd {
    Whole,
    /// The engine broke off, or time was over.
    Broken,
    CallerLeft,
}

impl Ingress {
    /// Answers with an engine's stream; the rest happens in a task of its own.
    pub(crate) fn pass_stream(
        &self,
        answering: Answering,
        route: &NamedRoute,
        routing: &Arc<Routing>,
        open: OpenTurn,
        prompt: Bytes,
        times: Times,
    ) -> IngressAnswer {
        let service = routing.http.services.get(&answering.reserved.picked.service);
        let model = service.and_then(|service| service.model.as_ref());
        let (pieces, body) = mpsc::channel(PIECES_WAITING);
        let head = answering.head.clone();
        let kept = route.route.keep_ms.map(|_| Kept { prompt, output: BytesMut::new() });
        let passing = Passing {
            answering,
            pieces,
            open,
            events: EventReader::default(),
            tokens_per_event: model.map_or(1, |model| model.tokens_per_event),
            kept,
            connections: self.connections.clone(),
            histories: self.histories.clone(),
            end: times.end,
        };
        let recorder = self.recorder(route, &passing.answering);
        self.afterwork.spawn(async move { passing.run(recorder).await });
        IngressAnswer::Passed(head, AnswerBody::Stream(body))
    }
}

impl Passing {
    async fn run(mut self, recorder: impl Fn(bool, std::time::Duration)) {
        let mut first_event = None;
        let end = self.pass_all(&mut first_event).await;
        let first_event = first_event.unwrap_or_else(|| self.answering.sent.elapsed());
        match end {
            StreamEnd::Whole => {
                recorder(true, first_event);
                self.finish(first_event).await;
            }
            StreamEnd::Broken => {
                recorder(false, first_event);
                let _ = self.pieces.send(Err(Cut)).await;
                self.answering.reserved.end(Outcome::Broken);
            }
            StreamEnd::CallerLeft => {}
        }
    }

    async fn pass_all(&mut self, first_event: &mut Option<std::time::Duration>) -> StreamEnd {
        loop {
            let next = tokio::select! {
                next = timeout_at(self.end, self.answering.next_piece()) => next,
                () = self.pieces.closed() => return StreamEnd::CallerLeft,
            };
            let piece = match next {
                Ok(Ok(Some(piece))) => piece,
                Ok(Ok(None)) => return StreamEnd::Whole,
                Ok(Err(_)) | Err(_) => return StreamEnd::Broken,
            };
            self.take(&piece);
            first_event.get_or_insert_with(|| self.answering.sent.elapsed());
            if self.pieces.send(Ok(piece)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }

    fn take(&mut self, piece: &[u8]) {
        for data in self.events.read(piece) {
            self.open.tokens.0 += self.tokens_per_event;
            if let Some(kept) = &mut self.kept {
                kept.output.extend_from_slice(&data);
                kept.output.extend_from_slice(b"\n");
            }
        }
    }

    /// Records the turn, then lets the answer end.
    async fn finish(mut self, first_event: std::time::Duration) {
        self.answering.end(&self.connections, Outcome::Answered(first_event));
        let Some(kept) = self.kept else { return };
        let output = kept.output.freeze();
        let deadline = self.end.min(Instant::now() + END_TIME);
        if self.open.end_whole(output.clone(), deadline).await {
            self.histories.put(self.open.turn.turn.clone(), joined(&kept.prompt, &output));
        } else {
            let _ = self.pieces.send(Err(Cut)).await;
        }
    }
}
