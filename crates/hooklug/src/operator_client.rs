//! Client of the operators' API.

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

/// Sends requests to the operators' API of one of several nodes.
pub(crate) struct OperatorClient {
    nodes: Vec<SocketAddr>,
    key: Option<String>,
    timeout: Duration,
}

/// An HTTP response of a node.
pub(crate) struct NodeResponse {
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
        self.request_any(Method::GET, path, Bytes::new()).await?.decode()
    }

    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> anyhow::Result<T> {
        let body = serde_json::to_vec(body)?;
        self.request_any(Method::POST, path, body.into()).await?.decode()
    }

    /// Sends a POST request without a body; the body of the response is ignored.
    pub(crate) async fn post_empty(&self, path: &str) -> anyhow::Result<()> {
        self.request_any(Method::POST, path, Bytes::new()).await?.check()
    }

    /// Sends a request to the nodes in turn until one responds with a status other than 503. All
    /// requests of operators can be repeated; a resubmitted bundle gets its first response again.
    async fn request_any(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<NodeResponse> {
        let mut last_error = anyhow!("no node was given");
        for node in &self.nodes {
            let request = self.send_request(*node, method.clone(), path, body.clone());
            match tokio::time::timeout(self.timeout, request).await {
                Ok(Ok(response)) if response.status != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(response);
                }
                Ok(Ok(response)) => last_error = anyhow!("{node}: {}", response.format_problem()),
                Ok(Err(error)) => last_error = error.context(format!("request to {node} failed")),
                Err(_) => {
                    last_error = anyhow!("{node}: no response within {} s", self.timeout.as_secs());
                }
            }
        }
        Err(last_error)
    }

    async fn send_request(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<NodeResponse> {
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
        Ok(NodeResponse { status, body })
    }
}

impl NodeResponse {
    fn check(&self) -> anyhow::Result<()> {
        if self.status.is_success() {
            return Ok(());
        }
        bail!("{}", self.format_problem())
    }

    fn decode<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        self.check()?;
        serde_json::from_slice(&self.body).context("cannot decode the response")
    }

    /// Formats the problem document of an error response: title, code, detail and the list of
    /// errors.
    fn format_problem(&self) -> String {
        let Ok(problem) = serde_json::from_slice::<serde_json::Value>(&self.body) else {
            return format!("status {}", self.status.as_u16());
        };
        let text = |key: &str| problem.get(key).and_then(|v| v.as_str()).unwrap_or_default();
        let mut message = format!("{} ({})", text("title"), text("code"));
        for key in ["field", "detail"] {
            if !text(key).is_empty() {
                message.push_str(&format!("\n  {key}: {}", text(key)));
            }
        }
        for error in problem.get("faults").and_then(|f| f.as_array()).into_iter().flatten() {
            let part = |key: &str| error.get(key).and_then(|v| v.as_str()).unwrap_or_default();
            message.push_str(&format!("\n  {}: {}", part("path"), part("message")));
        }
        message
    }
}
