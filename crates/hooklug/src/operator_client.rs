//! Asks nodes over the operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow, bail};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::cli::NodeArgs;

/// Asks one of several nodes.
pub(crate) struct OperatorClient {
    nodes: Vec<SocketAddr>,
    key: Option<String>,
    timeout: Duration,
}

/// An answer of a node.
pub(crate) struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl OperatorClient {
    pub(crate) fn new(args: &NodeArgs) -> anyhow::Result<Self> {
        let read = |path| std::fs::read_to_string(path).context("cannot read the key file");
        let key = args.key_file.as_ref().map(read).transpose()?;
        Ok(Self {
            nodes: args.nodes.clone(),
            key: key.map(|k| k.trim().to_owned()),
            timeout: Duration::from_secs(args.timeout),
        })
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        self.ask(Method::GET, path, Bytes::new()).await?.decode()
    }

    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> anyhow::Result<T> {
        let body = serde_json::to_vec(body)?;
        self.ask(Method::POST, path, body.into()).await?.decode()
    }

    /// A request without a body whose answer's body does not matter.
    pub(crate) async fn post_empty(&self, path: &str) -> anyhow::Result<()> {
        self.ask(Method::POST, path, Bytes::new()).await?.check()
    }

    /// Asks the nodes in turn until one answers other than "try again". All requests of operators may be
    /// sent again: a bundle that was committed gets its first answer again.
    async fn ask(&self, method: Method, path: &str, body: Bytes) -> anyhow::Result<Answer> {
        let mut last = anyhow!("no node was given");
        for node in &self.nodes {
            let asked = self.ask_one(*node, method.clone(), path, body.clone());
            match tokio::time::timeout(self.timeout, asked).await {
                Ok(Ok(answer)) if answer.status != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(answer);
                }
                Ok(Ok(answer)) => last = anyhow!("{node}: {}", answer.problem()),
                Ok(Err(error)) => last = error.context(format!("{node} did not answer")),
                Err(_) => last = anyhow!("{node}: no answer within {} s", self.timeout.as_secs()),
            }
        }
        Err(last)
    }

    async fn ask_one(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<Answer> {
        let stream = TcpStream::connect(node).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, node.to_string())
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let response = sender.send_request(request.body(Full::new(body))?).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Answer { status, body })
    }
}

impl Answer {
    fn check(&self) -> anyhow::Result<()> {
        if self.status.is_success() {
            return Ok(());
        }
        bail!("{}", self.problem())
    }

    fn decode<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        self.check()?;
        serde_json::from_slice(&self.body).context("the answer does not decode")
    }

    /// The problem in words: title, code, detail and every fault.
    fn problem(&self) -> String {
        let Ok(problem) = serde_json::from_slice::<serde_json::Value>(&self.body) else {
            return format!("status {}", self.status.as_u16());
        };
        let text = |key: &str| problem.get(key).and_then(|v| v.as_str()).unwrap_or_default();
        let mut words = format!("{} ({})", text("title"), text("code"));
        for key in ["field", "detail"] {
            if !text(key).is_empty() {
                words.push_str(&format!("\n  {key}: {}", text(key)));
            }
        }
        for fault in problem.get("faults").and_then(|f| f.as_array()).into_iter().flatten() {
            let part = |key: &str| fault.get(key).and_then(|v| v.as_str()).unwrap_or_default();
            words.push_str(&format!("\n  {}: {}", part("path"), part("message")));
        }
        words
    }
}
