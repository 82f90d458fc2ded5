//! A fake backend with a minimal HTTP/1.1 server that follows a script of behaviours.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::{ID, NOT_RUN};

/// Behaviour of a fake backend for one request.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Runs the request and responds with a status and a body.
    Answer(u16, &'static str),
    /// Reports that it is at capacity and does not run the request.
    AtCapacity,
    /// Like `AtCapacity`, and sends the same response once more, late: on the same connection, in
    /// place of the response to the request after this many others.
    AtCapacityTwice(usize),
    /// Reports that it is another backend and does not run the request.
    WrongBackend,
    /// Runs the request and closes the connection without a response.
    NoResponse,
    /// Runs the request and responds with the id of another request.
    WrongRequest,
    /// Runs the request and closes the connection within the body.
    Truncated,
    /// Runs the request and responds with a stream of these events.
    Events(&'static [&'static str]),
    /// Runs the request, sends these events and closes the connection before the end of the stream.
    EventsTruncated(&'static [&'static str]),
    /// Runs the request, sends these events, and ends the stream when released.
    EventsHeld(&'static [&'static str]),
    /// Runs the request and sends nothing until its caller disconnects.
    Unresponsive,
}

/// A request that the backend ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    pub id: String,
    pub body: String,
}

/// Behaviours for the next requests, in the order of their arrival. Clones share them, so that several
/// backends can follow one script whichever of them a request reaches.
#[derive(Debug, Clone, Default)]
pub struct Script(Arc<Mutex<VecDeque<Behaviour>>>);

impl Script {
    pub fn new(behaviours: &[Behaviour]) -> Self {
        Self(Arc::new(Mutex::new(behaviours.iter().cloned().collect())))
    }

    fn next(&self) -> Behaviour {
        self.0.lock().unwrap().pop_front().unwrap_or(Behaviour::Answer(200, "done"))
    }
}

#[derive(Debug, Default)]
struct BackendState {
    script: Script,
    executed: Vec<ExecutedRequest>,
    disconnects: usize,
}

/// A fake backend that follows its script and then responds with `200` and `done`.
pub struct FakeBackend {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<BackendState>>,
    released: Arc<Notify>,
}

impl FakeBackend {
    pub async fn start(name: &str, script: &[Behaviour]) -> Self {
        Self::with_script(name, Script::new(script)).await
    }

    /// Starts a backend on a script that others may follow too.
    pub async fn with_script(name: &str, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to loopback");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(Mutex::new(BackendState { script, ..BackendState::default() }));
        let released = Arc::new(Notify::new());
        let (serving, release) = (state.clone(), released.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, serving.clone(), release.clone()));
            }
        });
        Self { name: name.to_owned(), address, state, released }
    }

    /// Ends a held stream.
    pub fn release(&self) {
        self.released.notify_one();
    }

    /// Requests that the backend ran, in order.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.state.lock().unwrap().executed.clone()
    }

    /// Number of requests whose caller disconnected before the response.
    pub fn disconnects(&self) -> usize {
        self.state.lock().unwrap().disconnects
    }
}

struct ReceivedRequest {
    id: String,
    body: String,
}

async fn serve(stream: TcpStream, state: Arc<Mutex<BackendState>>, release: Arc<Notify>) {
    let (reading, mut writing) = stream.into_split();
    let mut reader = BufReader::new(reading);
    let mut late = LateResponses::default();
    while let Some(request) = read_request(&mut reader).await {
        let behaviour = next_behaviour(&state, &request);
        if writing.write_all(late.due().as_bytes()).await.is_err() {
            return;
        }
        let (response, keep_open) = response_to(&behaviour, &request.id);
        if let Behaviour::AtCapacityTwice(others) = behaviour {
            late.hold(others, &response);
        }
        if writing.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        if matches!(behaviour, Behaviour::EventsHeld(_)) {
            release.notified().await;
            if writing.write_all(b"0\r\n\r\n").await.is_err() {
                return;
            }
        }
        if matches!(behaviour, Behaviour::Unresponsive) {
            // The read returns when the caller closes the connection.
            let _ = reader.read(&mut [0; 1]).await;
            state.lock().unwrap().disconnects += 1;
            return;
        }
        if !keep_open {
            return;
        }
    }
}

/// Takes the next behaviour of the script and records the request if that behaviour runs it.
fn next_behaviour(state: &Mutex<BackendState>, request: &ReceivedRequest) -> Behaviour {
    let mut state = state.lock().unwrap();
    let behaviour = state.script.next();
    let refuses = matches!(
        behaviour,
        Behaviour::AtCapacity | Behaviour::AtCapacityTwice(_) | Behaviour::WrongBackend
    );
    if !refuses {
        let (id, body) = (request.id.clone(), request.body.clone());
        state.executed.push(ExecutedRequest { id, body });
    }
    behaviour
}

/// Responses of one connection that are sent once more.
#[derive(Debug, Default)]
struct LateResponses {
    /// Each response with the number of requests before the one in whose place it is sent.
    held: Vec<(usize, String)>,
}

impl LateResponses {
    /// Holds a response until this many other requests have arrived.
    fn hold(&mut self, others: usize, response: &str) {
        self.held.push((others, response.to_owned()));
    }

    /// The responses to send before the one to the request that has just arrived.
    fn due(&mut self) -> String {
        let due = self.held.extract_if(.., |(others, _)| *others == 0);
        let due: String = due.map(|(_, response)| response).collect();
        self.held.iter_mut().for_each(|(others, _)| *others -= 1);
        due
    }
}

fn response_to(behaviour: &Behaviour, id: &str) -> (String, bool) {
    let complete = |status: u16, headers: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
    };
    let own = format!("{ID}: {id}\r\n");
    match behaviour {
        Behaviour::Answer(status, body) => (complete(*status, &own, body), true),
        Behaviour::AtCapacity | Behaviour::AtCapacityTwice(_) => {
            (complete(503, &format!("{own}{NOT_RUN}: full\r\n"), "full"), true)
        }
        Behaviour::WrongBackend => (complete(421, &format!("{own}{NOT_RUN}: other\r\n"), ""), true),
        Behaviour::NoResponse => (String::new(), false),
        Behaviour::WrongRequest => {
            (complete(200, &format!("{ID}: another\r\n"), "not yours"), true)
        }
        Behaviour::Truncated => {
            (format!("HTTP/1.1 200 X\r\n{own}Content-Length: 100\r\n\r\nonly a part"), false)
        }
        Behaviour::Events(events) => (format!("{}0\r\n\r\n", stream(&own, events)), true),
        Behaviour::EventsTruncated(events) => (stream(&own, events), false),
        Behaviour::EventsHeld(events) => (stream(&own, events), true),
        Behaviour::Unresponsive => (String::new(), false),
    }
}

fn stream(own: &str, events: &[&str]) -> String {
    let head = format!("HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n");
    events.iter().enumerate().fold(head, |stream, (number, data)| {
        let event = format!("id: {number}\ndata: {data}\n\n");
        format!("{stream}{:x}\r\n{event}\r\n", event.len())
    })
}

async fn read_request(reader: &mut (impl AsyncBufReadExt + Unpin)) -> Option<ReceivedRequest> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(": ") {
            match name.to_ascii_lowercase().as_str() {
                ID => id = value.to_owned(),
                "content-length" => length = value.parse().ok()?,
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    Some(ReceivedRequest { id, body: String::from_utf8(body).ok()? })
}
