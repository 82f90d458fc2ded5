//! A cluster of real cores and stores that hollow nodes join, and bundles with many tenants.

use std::time::{Duration, Instant};

use anyhow::Context;
use hooklug_bundle::{Bundle, TenantTable};
use hooklug_fleet::http::HttpClient;
use hooklug_fleet::{Fleet, ModelPace, ProcessKind, ProcessName, SeedChoice, Topology};
use hooklug_types::{BundleVersion, TenantId, ZoneName};

use super::access::ClusterAccess;
use super::nodes::HollowNodes;
use crate::slopes::fleet_usage::UsageReading;

/// Maximum time until a bundle must be active on all nodes; the run fails after it.
pub(crate) const INSTALL_TIMEOUT: Duration = Duration::from_secs(90);

/// Length of the digest of a caller's key, so that tenants have a realistic size.
const KEY_DIGEST_BYTES: usize = 32;

/// A cluster of real processes and hollow nodes.
#[derive(Debug)]
pub(crate) struct TestCluster {
    /// The real processes.
    pub(crate) fleet: Fleet,
    /// The hollow nodes.
    pub(crate) nodes: HollowNodes,
    /// HTTP client for metrics.
    pub(crate) http: HttpClient,
    bundle: Bundle,
}

/// Time until a bundle was active on the hollow nodes, measured from its submission.
#[derive(Debug, Clone, serde::Serialize)]
pub(crate) struct InstallTimes {
    /// Seconds until the operator received the response, which waits for all nodes but not longer
    /// than 2 s.
    pub(crate) answered: f64,
    /// Number of nodes with the active bundle, as the response to the operator reports it.
    pub(crate) installed_at_answer: usize,
    /// Seconds until the bundle was active on half of the nodes.
    pub(crate) half: f64,
    /// Seconds until the bundle was active on 99 % of the nodes.
    pub(crate) p99: f64,
    /// Seconds until the bundle was active on all nodes.
    pub(crate) last: f64,
}

/// Returns a topology of stores and cores, with one gateway and no engines.
pub(crate) fn topology(stores: usize, cores: usize) -> anyhow::Result<Topology> {
    let zones: Result<Vec<ZoneName>, _> = (1..=4).map(|n| ZoneName::new(format!("z{n}"))).collect();
    Ok(Topology {
        name: "hollow".to_owned(),
        zones: zones?,
        zone_delay_micros: 0,
        seeds: SeedChoice::default(),
        stores,
        cores,
        gateways: 1,
        tenants: vec![TenantId::new("first")?],
        models: Vec::new(),
        applications: Vec::new(),
        pace: ModelPace::default(),
        gateway_mode: hooklug_settings::GatewayMode::Full,
        platform_lag_ms: 1_000,
        keep_seconds: 86_400,
        grace_ms: 2_000,
    })
}

impl TestCluster {
    /// Starts the real processes with a bundle of one tenant.
    pub(crate) async fn start(stores: usize, cores: usize) -> anyhow::Result<Self> {
        let fleet =
            Fleet::start(topology(stores, cores)?).await.context("cannot start the fleet")?;
        let bundle = fleet.topology().bundle(BundleVersion(1), BundleVersion(0))?;
        let access = ClusterAccess::of(&fleet)?;
        Ok(Self { fleet, nodes: HollowNodes::new(access), http: HttpClient::default(), bundle })
    }

    /// Returns the number of running stores, cores and gateways.
    pub(crate) fn real_nodes(&self) -> usize {
        let kinds = [ProcessKind::Store, ProcessKind::Core, ProcessKind::Gateway];
        let names = kinds.into_iter().flat_map(|kind| self.fleet.names(kind));
        names.filter(|name| self.fleet.is_running(*name).unwrap_or(false)).count()
    }

    /// Reads the resource usage of the real processes.
    pub(crate) async fn read_usage(&self) -> anyhow::Result<UsageReading> {
        UsageReading::read(&self.fleet, &self.http).await
    }

    /// Submits a bundle with `count` tenants, each with its own key and limits.
    pub(crate) async fn set_tenants(&mut self, count: usize) -> anyhow::Result<InstallTimes> {
        let mut tenants = TenantTable::default();
        let mut template: hooklug_bundle::Tenant = serde_json::from_str("{}")?;
        for n in 0..count {
            template.key_digests = vec![format!("{n:0width$x}", width = 2 * KEY_DIGEST_BYTES)];
            tenants.insert(TenantId::new(format!("tenant-{n:06}"))?, template.clone());
        }
        self.bundle.tenants = tenants;
        self.submit().await
    }

    /// Submits a bundle in which a limit of one tenant has changed.
    pub(crate) async fn change_tenant_limit(&mut self, nth: usize) -> anyhow::Result<InstallTimes> {
        let count = self.bundle.tenants.len().max(1);
        if let Some(tenant) = self.bundle.tenants.values_mut().nth(nth % count) {
            tenant.limits.concurrency += 1;
        }
        self.submit().await
    }

    /// Submits the bundle as the next version and waits until it is active on each hollow node.
    async fn submit(&mut self) -> anyhow::Result<InstallTimes> {
        self.bundle.base = self.bundle.version;
        self.bundle.version = self.bundle.version.next();
        let version = self.bundle.version;
        let start_time = Instant::now();
        let gateway = ProcessName::new(ProcessKind::Gateway, 0);
        let submitting = async {
            let submitted = self.fleet.submit_bundle_at(gateway, &self.bundle).await?;
            anyhow::Ok((submitted, start_time.elapsed()))
        };
        let installing = self.nodes.wait_installed(version, start_time, INSTALL_TIMEOUT);
        let (submitted, times) = tokio::join!(submitting, installing);
        let ((submitted, answered), times) = (submitted?, times?);
        let at = |share: f64| -> f64 {
            let rank = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len());
            times[rank - 1].as_secs_f64()
        };
        Ok(InstallTimes {
            answered: answered.as_secs_f64(),
            installed_at_answer: submitted.installed_nodes,
            half: at(0.5),
            p99: at(0.99),
            last: at(1.0),
        })
    }
}
