//! A fake application engine on raw TCP, so that it can send malformed responses. It counts the
//! calls that it ran.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hooklug_types::{EngineId, Incarnation};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{id, loopback};

/// How the engine handles one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs the call and responds.
    Answer,
    /// Runs the call and responds with this status and body.
    AnswerWith(u16, &'static str),
    /// Runs the call, then closes the connection without a response.
    LoseAnswer,
    /// Runs the call, then sends half of the body and closes the connection.
    CutShort,
    /// Runs the call, then echoes another request's id.
    WrongRequestId,
    /// Runs the call, then responds with another engine's identity.
    WrongEngineIdentity,
    /// Runs the call, then responds with invalid JSON.
    Garble,
    /// Runs the call, then responds without a content length.
    NoLength,
    /// Runs the call, then responds with status 500.
    ServerError,
    /// Refuses with this reason in the refusal header.
    Refuse(&'static str),
    /// Closes the connection without running the call.
    CloseBefore,
    /// Runs the call and responds after this time.
    Slow(Duration),
}

#[derive(Debug, Default)]
pub struct AppEngineScript {
    /// Behaviours of the next calls, in order.
    pub next: VecDeque<Behaviour>,
    /// Behaviour of all further calls; `Answer` when `None`.
    pub always: Option<Behaviour>,
    /// Number of runs by `program/call`.
    pub ran: BTreeMap<String, u32>,
    /// Number of calls received, whether or not they ran.
    pub received: u32,
    /// Number of calls whose caller closed the connection before the response.
    pub disconnected: u32,
    /// Deadlines from the calls' headers, in milliseconds.
    pub deadlines: Vec<u64>,
    /// Whether lookups report the calls that ran.
    pub answer_lookups: bool,
    /// Whether lookups never get a response.
    pub stall_lookups: bool,
    /// Identity that is reported instead of the engine's own.
    pub reported_identity: Option<String>,
}

pub struct AppEngine {
    pub engine: EngineId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub script: Arc<Mutex<AppEngineScript>>,
    stop: CancellationToken,
}

#[derive(Clone)]
struct Server {
    identity: String,
    json: String,
    script: Arc<Mutex<AppEngineScript>>,
}

struct Received {
    path: String,
    headers: BTreeMap<String, String>,
}

impl AppEngine {
    pub async fn start(name: &str, run: u64) -> Self {
        Self::start_version(name, run, "v1").await
    }

    pub async fn start_version(name: &str, run: u64, version: &str) -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("failed to bind a port");
        let address = listener.local_addr().expect("no local address");
        let script: Arc<Mutex<AppEngineScript>> = Arc::default();
        let json = format!(
            r#"{{"service":"farm","engine":"{name}","incarnation":{run},"version":"{version}","kind":"application"}}"#
        );
        let server =
            Server { identity: format!("farm/{name}/{run}"), json, script: script.clone() };
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stopped.cancelled() => return,
                };
                let Ok((stream, _)) = accepted else { return };
                let (server, stopped) = (server.clone(), stopped.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = server.serve(stream) => {}
                        () = stopped.cancelled() => {}
                    }
                });
            }
        });
        Self { engine: id(name), incarnation: Incarnation(run), address, script, stop }
    }

    /// Stops listening and closes all connections.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    pub fn script(&self, change: impl FnOnce(&mut AppEngineScript)) {
        change(&mut self.script.lock().expect("lock is poisoned"));
    }

    pub fn next(&self, behaviour: Behaviour) {
        self.script(|script| script.next.push_back(behaviour));
    }

    /// Returns how often a call ran on this engine.
    pub fn runs(&self, call: &str) -> u32 {
        self.script.lock().expect("lock is poisoned").ran.get(call).copied().unwrap_or(0)
    }

    /// Waits until a call has run on this engine.
    pub async fn wait_ran(&self, call: &str) {
        while self.runs(call) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until `count` calls were received.
    pub async fn wait_received(&self, count: u32) {
        while self.received() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until the caller of a slow call has closed its connection.
    pub async fn wait_disconnected(&self) {
        while self.script.lock().expect("lock is poisoned").disconnected == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns the deadlines from the calls' headers, in milliseconds.
    pub fn deadlines(&self) -> Vec<u64> {
        self.script.lock().expect("lock is poisoned").deadlines.clone()
    }

    pub fn received(&self) -> u32 {
        self.script.lock().expect("lock is poisoned").received
    }
}

impl Server {
    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let Some(received) = read_request(&mut stream).await? else { return Ok(()) };
            let path = received.path.clone();
            let open = if path == "/identity" {
                let reported_identity =
                    self.script.lock().expect("lock is poisoned").reported_identity.clone();
                let json = reported_identity.unwrap_or_else(|| self.json.clone());
                write(&mut stream, 200, &[], &json).await?;
                true
            } else if let Some(call) = path.strip_prefix("/calls?call=") {
                self.answer_lookup(&mut stream, &received, call).await?;
                true
            } else {
                self.answer_call(&mut stream, &received).await?
            };
            if !open {
                return Ok(());
            }
        }
    }

    async fn answer_lookup(
        &self,
        stream: &mut BufReader<TcpStream>,
        received: &Received,
        call: &str,
    ) -> std::io::Result<()> {
        let (known, ran, stalled) = {
            let script = self.script.lock().expect("lock is poisoned");
            (script.answer_lookups, script.ran.contains_key(call), script.stall_lookups)
        };
        if stalled {
            std::future::pending::<()>().await;
        }
        let headers = self.own_headers(received);
        match (known, ran) {
            (false, _) => write(stream, 404, &headers, "{}").await,
            (true, true) => {
                let found = r#"{"state":"done","status":200,"body":{"ok":true}}"#;
                write(stream, 200, &headers, found).await
            }
            (true, false) => write(stream, 200, &headers, r#"{"state":"never"}"#).await,
        }
    }

    fn own_headers(&self, received: &Received) -> Vec<(String, String)> {
        let echoed = received.headers.get("x-hooklug-request").cloned().unwrap_or_default();
        vec![
            ("x-hooklug-request".to_owned(), echoed),
            ("x-hooklug-engine".to_owned(), self.identity.clone()),
        ]
    }

    fn next_behaviour(&self) -> Behaviour {
        let mut script = self.script.lock().expect("lock is poisoned");
        script.received += 1;
        let next = script.next.pop_front().or_else(|| script.always.clone());
        next.unwrap_or(Behaviour::Answer)
    }

    fn run(&self, received: &Received) {
        let call = received.headers.get("x-hooklug-call").cloned().unwrap_or_default();
        let deadline =
            received.headers.get("x-hooklug-deadline-ms").and_then(|ms| ms.parse::<u64>().ok());
        let mut script = self.script.lock().expect("lock is poisoned");
        script.deadlines.extend(deadline);
        *script.ran.entry(call).or_default() += 1;
    }

    /// Returns whether the connection stays open.
    async fn answer_call(
        &self,
        stream: &mut BufReader<TcpStream>,
        received: &Received,
    ) -> std::io::Result<bool> {
        let own = self.own_headers(received);
        let behaviour = self.next_behaviour();
        if received.headers.get("x-hooklug-expect") != Some(&self.identity) {
            let refused = with(&own, "x-hooklug-refused", "identity");
            return write(stream, 409, &refused, "{}").await.map(|()| true);
        }
        if let Behaviour::Refuse(reason) = behaviour {
            let refused = with(&own, "x-hooklug-refused", reason);
            return write(stream, 503, &refused, "{}").await.map(|()| true);
        }
        if behaviour == Behaviour::CloseBefore {
            return Ok(false);
        }
        self.run(received);
        const BODY: &str = r#"{"ok":true}"#;
        match behaviour {
            Behaviour::AnswerWith(status, body) => write(stream, status, &own, body).await?,
            Behaviour::LoseAnswer => return Ok(false),
            Behaviour::CutShort => {
                let head = head(200, &own, Some(BODY.len() * 2));
                stream.write_all(format!("{head}{BODY}").as_bytes()).await?;
                return Ok(false);
            }
            Behaviour::WrongRequestId => {
                let crossed = replaced(&own, "x-hooklug-request", "another");
                write(stream, 200, &crossed, BODY).await?;
            }
            Behaviour::WrongEngineIdentity => {
                let crossed = replaced(&own, "x-hooklug-engine", "farm/other/1");
                write(stream, 200, &crossed, BODY).await?;
            }
            Behaviour::Garble => write(stream, 200, &own, "{\"ok\":tr").await?,
            Behaviour::NoLength => {
                let head = head(200, &own, None);
                stream.write_all(format!("{head}{BODY}").as_bytes()).await?;
                return Ok(false);
            }
            Behaviour::ServerError => write(stream, 500, &own, "{}").await?,
            Behaviour::Slow(time) => {
                tokio::select! {
                    () = tokio::time::sleep(time) => {}
                    // No data follows a request before its response, so a read ends only when the
                    // connection closes.
                    _ = stream.read_u8() => {
                        self.script.lock().expect("lock is poisoned").disconnected += 1;
                        return Ok(false);
                    }
                }
                write(stream, 200, &own, BODY).await?;
            }
            Behaviour::Answer | Behaviour::Refuse(_) | Behaviour::CloseBefore => {
                write(stream, 200, &own, BODY).await?;
            }
        }
        Ok(true)
    }
}

fn with(headers: &[(String, String)], name: &str, value: &str) -> Vec<(String, String)> {
    let mut headers = headers.to_vec();
    headers.push((name.to_owned(), value.to_owned()));
    headers
}

fn replaced(headers: &[(String, String)], name: &str, value: &str) -> Vec<(String, String)> {
    let mut kept: Vec<_> = headers.iter().filter(|(n, _)| n != name).cloned().collect();
    kept.push((name.to_owned(), value.to_owned()));
    kept
}

fn head(status: u16, headers: &[(String, String)], length: Option<usize>) -> String {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(length) = length {
        text.push_str(&format!("content-length: {length}\r\n"));
    }
    text.push_str("\r\n");
    text
}

async fn write(
    stream: &mut BufReader<TcpStream>,
    status: u16,
    headers: &[(String, String)],
    body: &str,
) -> std::io::Result<()> {
    let head = head(status, headers, Some(body.len()));
    stream.write_all(format!("{head}{body}").as_bytes()).await?;
    stream.flush().await
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Received>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Some(Received { path, headers }))
}
