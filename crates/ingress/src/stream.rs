//! Forwards an engine's stream to the caller and records the turn before the stream ends.
//!
//! Events are forwarded as they arrive. On routes that retain turns, the end of the body is sent
//! only after the complete turn is committed, so that a turn that its caller received completely is
//! never unknown afterwards.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::answer::{AnswerBody, IngressAnswer, Truncated};
use crate::attempt::PendingResponse;
use crate::backends::Outcome;
use crate::connections::Connections;
use crate::deadline::RequestDeadlines;
use crate::history_cache::HistoryCache;
use crate::ingress::{Ingress, Routing};
use crate::open_turn::{END_TIMEOUT, OpenTurn};
use crate::routes::NamedRoute;
use crate::sse::EventReader;
use crate::stream_times::StreamTimes;
use crate::turns::concatenated;

/// Capacity of the queue of chunks to the caller's connection.
const CHUNK_QUEUE_LENGTH: usize = 16;

/// Forwards one stream from an engine to a caller.
struct StreamForwarder {
    response: PendingResponse,
    chunks: mpsc::Sender<Result<Bytes, Truncated>>,
    open: OpenTurn,
    events: EventReader,
    times: StreamTimes,
    tokens_per_event: u64,
    /// The prompt and the output so far, on routes that retain turns.
    retained: Option<RetainedTurn>,
    connections: Arc<Connections>,
    histories: Arc<HistoryCache>,
    end: Instant,
}

struct RetainedTurn {
    prompt: Bytes,
    output: BytesMut,
}

/// How the stream of an engine ended.
enum StreamEnd {
    Complete,
    /// The connection to the engine failed, or the deadline passed.
    Interrupted,
    CallerDisconnected,
}

impl Ingress {
    /// Returns an answer with an engine's stream, which a separate task forwards.
    pub(crate) fn forward_stream(
        &self,
        response: PendingResponse,
        route: &NamedRoute,
        routing: &Arc<Routing>,
        open: OpenTurn,
        prompt: Bytes,
        deadlines: RequestDeadlines,
    ) -> IngressAnswer {
        let service = routing.http.services.get(&response.reservation.picked.service);
        let model = service.and_then(|service| service.model.as_ref());
        let (chunks, body) = mpsc::channel(CHUNK_QUEUE_LENGTH);
        let head = response.head.clone();
        let retained =
            route.route.keep_ms.map(|_| RetainedTurn { prompt, output: BytesMut::new() });
        let forwarder = StreamForwarder {
            response,
            chunks,
            open,
            events: EventReader::default(),
            times: StreamTimes::default(),
            tokens_per_event: model.map_or(1, |model| model.tokens_per_event),
            retained,
            connections: self.connections.clone(),
            histories: self.histories.clone(),
            end: deadlines.end,
        };
        let recorder = self.recorder(route, &forwarder.response);
        self.background_tasks.spawn(async move { forwarder.run(recorder).await });
        IngressAnswer::Forwarded(head, AnswerBody::Stream(body))
    }
}

impl StreamForwarder {
    async fn run(mut self, recorder: impl Fn(bool, std::time::Duration)) {
        let end = self.forward_chunks().await;
        let first_event = self.times.first().unwrap_or_else(|| self.response.sent.elapsed());
        let compared = self.times.between_events().unwrap_or(first_event);
        match end {
            StreamEnd::Complete => {
                recorder(true, compared);
                self.finish(first_event).await;
            }
            StreamEnd::Interrupted => {
                recorder(false, compared);
                let _ = self.chunks.send(Err(Truncated)).await;
                self.response.reservation.end(Outcome::NoResponse);
            }
            StreamEnd::CallerDisconnected => {}
        }
    }

    async fn forward_chunks(&mut self) -> StreamEnd {
        loop {
            let next = tokio::select! {
                next = timeout_at(self.end, self.response.next_chunk()) => next,
                () = self.chunks.closed() => return StreamEnd::CallerDisconnected,
            };
            let chunk = match next {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) => return StreamEnd::Complete,
                Ok(Err(_)) | Err(_) => return StreamEnd::Interrupted,
            };
            let events = self.parse_chunk(&chunk);
            self.times.record(events, self.response.sent.elapsed());
            if self.chunks.send(Ok(chunk)).await.is_err() {
                return StreamEnd::CallerDisconnected;
            }
        }
    }

    /// Returns the number of events that the chunk completes.
    fn parse_chunk(&mut self, chunk: &[u8]) -> usize {
        let mut count = 0;
        for data in self.events.read(chunk) {
            count += 1;
            self.open.tokens.0 += self.tokens_per_event;
            if let Some(retained) = &mut self.retained {
                retained.output.extend_from_slice(&data);
                retained.output.extend_from_slice(b"\n");
            }
        }
        count
    }

    /// Records the end of the turn, then ends the response.
    async fn finish(mut self, first_event: std::time::Duration) {
        self.response.end(&self.connections, Outcome::Succeeded(first_event));
        let Some(retained) = self.retained else { return };
        let output = retained.output.freeze();
        let deadline = self.end.min(Instant::now() + END_TIMEOUT);
        if self.open.end_complete(output.clone(), deadline).await {
            self.histories
                .put(self.open.turn.turn.clone(), concatenated(&retained.prompt, &output));
        } else {
            let _ = self.chunks.send(Err(Truncated)).await;
        }
    }
}
