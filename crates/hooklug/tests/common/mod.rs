//! A fleet of `hooklug` processes on loopback addresses.

#![allow(dead_code, reason = "each test file uses a part")]

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// Timeout for a condition. Generous, because it does not test a guaranteed time.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(120);

/// Tenant of all requests.
pub const TENANT: &str = "growers";

/// One process and its addresses.
pub struct Process {
    pub role: &'static str,
    pub rpc: SocketAddr,
    pub http: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_hooklug"))
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        self.child = Some(child);
    }

    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("it runs");
        let pid = i32::try_from(child.id()).expect("a process id");
        kill(Pid::from_raw(pid), signal).expect("it can be signalled");
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.take().expect("it runs").wait().expect("it ends")
    }

    /// Kills the process, as a power failure would, except that the operating system's writes
    /// survive.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A fleet of processes with their files in a temporary folder.
pub struct Fleet {
    folder: tempfile::TempDir,
    net: u8,
    /// File of the platform's list of engines, which the cores read.
    pub platform_list: PathBuf,
    pub processes: Vec<Process>,
}

impl Fleet {
    /// Creates an empty fleet on addresses `127.net.*`.
    pub fn new(net: u8) -> Self {
        let folder = tempfile::tempdir().expect("a scratch folder");
        let platform_list = folder.path().join("engines.json");
        std::fs::write(&platform_list, "{\"engines\": []}").expect("written");
        Self { folder, net, platform_list, processes: Vec::new() }
    }

    /// Creates a fleet and starts the given numbers of stores, cores and gateways.
    pub fn started(net: u8, stores: usize, cores: usize, gateways: usize) -> Self {
        let mut fleet = Self::new(net);
        for (role, count) in [("store", stores), ("core", cores), ("gateway", gateways)] {
            for _ in 0..count {
                fleet.add(role);
            }
        }
        fleet
    }

    /// Adds and starts a process and returns its index.
    pub fn add(&mut self, role: &'static str) -> usize {
        let index = self.processes.len();
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.net, 0, 1 + u8::try_from(index).expect("few")));
        let (rpc, http) = (free_address(ip), free_address(ip));
        let seeds: Vec<String> =
            self.processes.iter().take(3).map(|p| format!("{:?}", p.rpc.to_string())).collect();
        let data = self.folder.path().join(format!("data{index}"));
        let text = format!(
            "rpc = \"{rpc}\"\nhttp = \"{http}\"\nzone = \"z{}\"\nseeds = [{}]\n\
             data_folder = {data:?}\ncluster_secret = \"secret of the test fleet\"\n\
             enable_faults = true\n[core]\nplatform_list = {:?}\n",
            index % 4 + 1,
            seeds.join(", "),
            self.platform_list,
        );
        let settings = self.folder.path().join(format!("{role}{index}.toml"));
        std::fs::write(&settings, text).expect("written");
        let log = self.folder.path().join(format!("{role}{index}.log"));
        let mut process = Process { role, rpc, http, settings, log, child: None };
        process.start();
        self.processes.push(process);
        index
    }

    pub fn with_role(&self, role: &str) -> Vec<usize> {
        (0..self.processes.len()).filter(|i| self.processes[*i].role == role).collect()
    }

    pub fn http(&self, index: usize) -> SocketAddr {
        self.processes[index].http
    }

    /// What a process has written to its log so far.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.processes[index].log).expect("a log")
    }

    /// Waits until a node reports the given number of live members.
    pub async fn wait_for_members(&self, observer: usize, count: usize) {
        eventually("all members are seen", async || {
            let response = request(self.http(observer), Method::GET, "/admin/v1/members", "").await;
            let members = response.map(|a| a.1).unwrap_or_default();
            let alive = |m: &&Value| m["health"] == "Alive";
            members.as_array().is_some_and(|m| m.iter().filter(alive).count() == count)
        })
        .await;
    }

    /// Submits a bundle to a node, and again while the response is 503.
    pub async fn submit(&self, index: usize, bundle: &Value) -> (StatusCode, Value) {
        let body = json!({ "bundle": bundle }).to_string();
        let until = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let response =
                request(self.http(index), Method::POST, "/admin/v1/bundles", &body).await;
            match response {
                Some((status, body)) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    return (status, body);
                }
                other => assert!(Instant::now() < until, "never accepted: {other:?}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Newest committed bundle version, read through a node.
    pub async fn current_version(&self, index: usize) -> Option<u64> {
        let response =
            request(self.http(index), Method::GET, "/admin/v1/bundles/current", "").await;
        response.and_then(|(_, body)| body["record"]["version"].as_u64())
    }

    /// Bundle version installed at a node.
    pub async fn installed_version(&self, index: usize) -> Option<u64> {
        let response = request(self.http(index), Method::GET, "/admin/v1/view", "").await;
        response.and_then(|(_, body)| body["installed_bundle"].as_u64())
    }
}

fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).expect("loopback");
    listener.local_addr().expect("bound")
}

/// Sends one request; `None` if no complete response arrived.
pub async fn request(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Option<(StatusCode, Value)> {
    let (status, bytes) = request_bytes(to, method, path, body).await?;
    Some((status, serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
}

/// Reads a text; `None` if no complete response arrived.
pub async fn get_text(from: SocketAddr, path: &str) -> Option<String> {
    let (_, bytes) = request_bytes(from, Method::GET, path, "").await?;
    String::from_utf8(bytes.into()).ok()
}

async fn request_bytes(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Option<(StatusCode, Bytes)> {
    let exchange = async {
        let stream = tokio::net::TcpStream::connect(to).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", to.to_string())
            .header("content-type", "application/json")
            .header("x-hooklug-tenant", TENANT)
            .body(Full::new(Bytes::from(body.to_owned())))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, bytes))
    };
    tokio::time::timeout(Duration::from_secs(15), exchange).await.ok().flatten()
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let until = Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < until, "never happened: {what}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
