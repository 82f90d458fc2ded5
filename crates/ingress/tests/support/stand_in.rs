//! A back end that speaks just enough HTTP/1.1, and breaks it as told.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::{ID, NOT_RUN};

/// What a stand-in does with one request.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Runs it and answers with a status and a body.
    Answer(u16, &'static str),
    /// Says that it has no room, and does not run it.
    Full,
    /// Says that it is another one, and does not run it.
    Other,
    /// Runs it and closes the connection without an answer.
    Lost,
    /// Runs it and answers with another request's id.
    Foreign,
    /// Runs it and closes the connection in the middle of the body.
    Cut,
    /// Runs it and answers with a stream of these events.
    Events(&'static [&'static str]),
    /// Runs it, sends these events and closes the connection before the end of the stream.
    EventsCut(&'static [&'static str]),
    /// Runs it, sends these events, and ends the stream once it is released.
    EventsHeld(&'static [&'static str]),
    /// Runs it and says nothing until its caller leaves.
    Silent,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    pub id: String,
    pub body: String,
}

#[derive(Debug, Default)]
struct Seen {
    script: VecDeque<Behaviour>,
    ran: Vec<Ran>,
    left: usize,
}

/// A stand-in; follows its script, and then answers `200` with `done`.
pub struct StandIn {
    pub name: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    released: Arc<Notify>,
}

impl StandIn {
    pub async fn start(name: &str, script: &[Behaviour]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let seen = Seen { script: script.iter().cloned().collect(), ..Seen::default() };
        let seen = Arc::new(Mutex::new(seen));
        let released = Arc::new(Notify::new());
        let (serving, release) = (seen.clone(), released.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, serving.clone(), release.clone()));
            }
        });
        Self { name: name.to_owned(), address, seen, released }
    }

    /// Lets a held stream end.
    pub fn release(&self) {
        self.released.notify_one();
    }

    /// Requests that ran, in order.
    pub fn ran(&self) -> Vec<Ran> {
        self.seen.lock().unwrap().ran.clone()
    }

    /// Requests whose caller left before the answer.
    pub fn left(&self) -> usize {
        self.seen.lock().unwrap().left
    }
}

struct Asked {
    id: String,
    body: String,
}

async fn serve(stream: TcpStream, seen: Arc<Mutex<Seen>>, release: Arc<Notify>) {
    let (reading, mut writing) = stream.into_split();
    let mut reader = BufReader::new(reading);
    while let Some(asked) = read_request(&mut reader).await {
        let behaviour = {
            let mut seen = seen.lock().unwrap();
            let behaviour = seen.script.pop_front().unwrap_or(Behaviour::Answer(200, "done"));
            if !matches!(behaviour, Behaviour::Full | Behaviour::Other) {
                seen.ran.push(Ran { id: asked.id.clone(), body: asked.body.clone() });
            }
            behaviour
        };
        let (answer, stays) = answer(&behaviour, &asked.id);
        if writing.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if matches!(behaviour, Behaviour::EventsHeld(_)) {
            release.notified().await;
            if writing.write_all(b"0\r\n\r\n").await.is_err() {
                return;
            }
        }
        if matches!(behaviour, Behaviour::Silent) {
            // Ends when the other side closes.
            let _ = reader.read(&mut [0; 1]).await;
            seen.lock().unwrap().left += 1;
            return;
        }
        if !stays {
            return;
        }
    }
}

fn answer(behaviour: &Behaviour, id: &str) -> (String, bool) {
    let whole = |status: u16, headers: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
    };
    let own = format!("{ID}: {id}\r\n");
    match behaviour {
        Behaviour::Answer(status, body) => (whole(*status, &own, body), true),
        Behaviour::Full => (whole(503, &format!("{own}{NOT_RUN}: full\r\n"), "full"), true),
        Behaviour::Other => (whole(421, &format!("{own}{NOT_RUN}: other\r\n"), ""), true),
        Behaviour::Lost => (String::new(), false),
        Behaviour::Foreign => (whole(200, &format!("{ID}: another\r\n"), "not yours"), true),
        Behaviour::Cut => {
            (format!("HTTP/1.1 200 X\r\n{own}Content-Length: 100\r\n\r\nonly a part"), false)
        }
        Behaviour::Events(events) => (format!("{}0\r\n\r\n", stream(&own, events)), true),
        Behaviour::EventsCut(events) => (stream(&own, events), false),
        Behaviour::EventsHeld(events) => (stream(&own, events), true),
        Behaviour::Silent => (String::new(), false),
    }
}

fn stream(own: &str, events: &[&str]) -> String {
    let head = format!("HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n");
    events.iter().enumerate().fold(head, |stream, (number, data)| {
        let event = format!("id: {number}\ndata: {data}\n\n");
        format!("{stream}{:x}\r\n{event}\r\n", event.len())
    })
}

async fn read_request(reader: &mut (impl AsyncBufReadExt + Unpin)) -> Option<Asked> {
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
    Some(Asked { id, body: String::from_utf8(body).ok()? })
}
