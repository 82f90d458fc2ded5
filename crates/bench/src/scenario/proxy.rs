//! Compares the throughput of a single gateway with that of a minimal HTTP proxy in front of the
//! same fake backends.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hooklug_fleet::caller::CallRequest;
use hooklug_fleet::http::{HttpClient, HttpRequest};
use hooklug_fleet::{Caller, Fleet, FleetError, ProcessKind, Topology};
use hooklug_types::UnixMillis;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{Either, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::json;
use tokio::net::TcpListener;

use super::burst::lift_tenant_limits;
use super::rate::{Rate, measure};
use crate::report::{Goal, Measure, Section};
use crate::workload::Profile;

/// Minimum throughput of a gateway relative to the plain proxy (issue 6).
const THROUGHPUT_RATIO_GOAL: f64 = 0.7;
/// Length of the warm-up.
const WARM_UP: Duration = Duration::from_secs(1);
/// Number of alternating measurements of both, so that other load on the machine affects both.
const ROUNDS: u32 = 3;

type Upstream = Client<HttpConnector, Incoming>;

/// An HTTP proxy that forwards each request to the next backend and does nothing else.
struct PlainProxy {
    client: Upstream,
    backends: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl PlainProxy {
    async fn listen(backends: Vec<SocketAddr>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        let proxy = Arc::new(Self { client, backends, next: AtomicUsize::new(0) });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let proxy = proxy.clone();
                tokio::spawn(async move {
                    let serve = service_fn(move |request| proxy.clone().forward(request));
                    let served = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), serve);
                    // The client notices a failed connection, so the result is ignored.
                    let _ = served.await;
                });
            }
        });
        Ok(address)
    }

    async fn forward(
        self: Arc<Self>,
        mut request: Request<Incoming>,
    ) -> Result<Response<Either<Incoming, Empty<Bytes>>>, Infallible> {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.backends.len().max(1);
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        if let Ok(uri) = format!("http://{}{path}", self.backends[index]).parse() {
            *request.uri_mut() = uri;
        }
        request.headers_mut().remove(http::header::HOST);
        match self.client.request(request).await {
            Ok(response) => Ok(response.map(Either::Left)),
            Err(_) => {
                let mut failed = Response::new(Either::Right(Empty::new()));
                *failed.status_mut() = StatusCode::BAD_GATEWAY;
                Ok(failed)
            }
        }
    }
}

/// Measures the throughput of a gateway and of the plain proxy.
///
/// # Errors
/// If the fleet cannot be started.
pub async fn run(
    mut topology: Topology,
    callers: usize,
    time: Duration,
) -> Result<Section, FleetError> {
    topology.gateways = 1;
    for group in &mut topology.applications {
        group.run_ms = 0;
    }
    let profile = Profile::of(&topology);
    let tool = profile.repeatable.first().cloned().unwrap_or_default();
    let fleet = Fleet::start(topology).await?;
    lift_tenant_limits(&fleet).await?;
    let backends = engine_addresses(&fleet, &tool)?;
    let proxy = PlainProxy::listen(backends).await;
    let proxy = proxy.map_err(|e| FleetError::Unexpected(e.to_string()))?;
    let tenant = fleet.topology().tenants.first().map(ToString::to_string).unwrap_or_default();
    let caller = Caller::new(fleet.gateways(), &tenant);
    let end = UnixMillis::now().plus(Duration::from_secs(3_600)).0;
    let put = caller.put_program(0, "p", 1_000, end).await;
    put.map_err(|e| FleetError::Unexpected(e.to_string()))?;
    let (mut gateway_rates, mut proxy_rates): (Vec<Rate>, Vec<Rate>) = (Vec::new(), Vec::new());
    for round in 0..=ROUNDS {
        let time = if round == 0 { WARM_UP } else { time / ROUNDS };
        let gateway = measure_gateway(&caller, &tool, callers, time, round).await;
        let direct = measure_proxy(proxy, &tool, callers, time).await;
        if round > 0 {
            gateway_rates.push(gateway);
            proxy_rates.push(direct);
        }
    }
    Ok(section(callers, &gateway_rates, &proxy_rates))
}

/// Returns the addresses of the application engines that serve a tool.
fn engine_addresses(fleet: &Fleet, tool: &str) -> Result<Vec<SocketAddr>, FleetError> {
    let groups = &fleet.topology().applications;
    let services = groups.iter().flat_map(|g| std::iter::repeat_n(g, g.engines));
    let serving = services.zip(fleet.names(ProcessKind::App));
    let of_tool = serving.filter(|(group, _)| group.tools.iter().any(|t| t.name == tool));
    of_tool.map(|(_, name)| fleet.http_address(name)).collect()
}

async fn measure_gateway(
    caller: &Caller,
    tool: &str,
    callers: usize,
    time: Duration,
    turn: u32,
) -> Rate {
    let (caller, tool) = (caller.clone(), tool.to_owned());
    measure(callers, time, move |from, number| {
        let request = CallRequest::new(&tool, json!({"of": from, "number": number}));
        let path = format!("/v1/programs/p/calls/{turn}-{from}-{number}");
        let (request_to_send, caller) =
            (HttpRequest::json(Method::PUT, path, &request), caller.clone());
        async move { caller.send_once(0, &request_to_send).await.is_ok() }
    })
    .await
}

async fn measure_proxy(proxy: SocketAddr, tool: &str, callers: usize, time: Duration) -> Rate {
    let (http, path) = (HttpClient::default(), format!("/calls/{tool}"));
    measure(callers, time, move |from, number| {
        let body = json!({"of": from, "number": number});
        let request = HttpRequest::json(Method::POST, path.clone(), &body)
            .header("x-hooklug-request", format!("r-{from}-{number}"));
        let http = http.clone();
        async move { http.send(proxy, &request).await.is_ok_and(|r| r.status.is_success()) }
    })
    .await
}

fn section(callers: usize, gateway_rates: &[Rate], proxy_rates: &[Rate]) -> Section {
    let rate =
        |rates: &[Rate]| rates.iter().map(|r| r.per_second).sum::<f64>() / rates.len() as f64;
    let p50 =
        |rates: &[Rate]| rates.iter().map(|r| r.times_ms.p50).sum::<f64>() / rates.len() as f64;
    let failed = |rates: &[Rate]| rates.iter().map(|r| r.failed).sum::<u64>() as f64;
    let measures = vec![
        Measure::new(
            "gateway's throughput by the plain proxy's",
            rate(gateway_rates) / rate(proxy_rates),
            "",
        )
        .with_goal(Goal::AtLeast(THROUGHPUT_RATIO_GOAL)),
        Measure::new(
            "repeatable calls through the gateway, a second",
            rate(gateway_rates),
            "calls/s",
        ),
        Measure::new("the same through the plain proxy, a second", rate(proxy_rates), "calls/s"),
        Measure::new("time of a call through the gateway, p50", p50(gateway_rates), "ms"),
        Measure::new("time of a call through the plain proxy, p50", p50(proxy_rates), "ms"),
        Measure::new("calls that failed at the gateway", failed(gateway_rates), "calls"),
        Measure::new("calls that failed at the plain proxy", failed(proxy_rates), "calls"),
        Measure::new("callers at once", callers as f64, ""),
    ];
    let load = crate::environment::load_averages();
    Section::Measures { name: "gateway and plain proxy".to_owned(), measures, load }
}
