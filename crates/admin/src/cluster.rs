//! Handlers that show this node's view of the cluster: members, engines, windows, slots and
//! rollouts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::State;
use hooklug_bundle::{Service, VersionState};
use hooklug_control::InstalledBundle;
use hooklug_protocol::Request;
use hooklug_protocol::control::{ClusterView, FetchSlotUsage, FetchVersionStatistics, Member};
use hooklug_types::{BundleVersion, NodeRole, ServiceName, UnixMillis};
use tokio::time::Instant;

use crate::AdminContext;
use crate::answers::{
    EngineAnswer, EngineKind, HarmAnswer, MemberAnswer, RollbackAnswer, RolloutsAnswer,
    ServiceRollout, SlotUsageAnswer, VersionMetrics, ViewAnswer, WindowAnswer,
};

type AdminState = State<Arc<AdminContext>>;

/// Timeout of a request to one core.
const CORE_TIMEOUT: Duration = Duration::from_secs(1);

fn current_view(admin: &AdminContext) -> Arc<ClusterView> {
    admin.context.node.view.borrow().clone()
}

fn installed_bundle(admin: &AdminContext) -> Option<Arc<InstalledBundle>> {
    admin.context.node.bundle.borrow().clone()
}

pub(crate) async fn members(State(admin): AdminState) -> Json<Vec<MemberAnswer>> {
    let view = current_view(&admin);
    Json(view.members.values().map(|member| member_answer(&view, member)).collect())
}

fn member_answer(view: &ClusterView, member: &Member) -> MemberAnswer {
    let address = &member.address;
    let leader = view.meta.leader.as_ref().filter(|l| !l.expired).map(|l| l.core);
    let store = view.meta.stores.iter().find(|s| s.node == address.node);
    MemberAnswer {
        node: address.node,
        incarnation: address.incarnation,
        role: address.role,
        rpc: address.rpc,
        http: address.http,
        zone: address.zone.clone(),
        health: member.health,
        bundle: member.bundle,
        core_leader: leader == Some(address.node),
        store: store.map(|s| s.state),
    }
}

pub(crate) async fn engines(State(admin): AdminState) -> Json<Vec<EngineAnswer>> {
    let view = current_view(&admin);
    let hosts = view.members.values().filter_map(host_answer);
    let applications = view.engines.values().map(|engine| EngineAnswer {
        engine: engine.engine.clone(),
        incarnation: engine.incarnation,
        kind: EngineKind::Application,
        service: engine.service.clone(),
        version: engine.version.clone(),
        address: engine.address,
        zone: engine.zone.clone(),
        ready: engine.healthy,
        draining: engine.draining,
        slots: None,
    });
    Json(hosts.chain(applications).collect())
}

fn host_answer(member: &Member) -> Option<EngineAnswer> {
    let engine = member.engine.as_ref()?;
    Some(EngineAnswer {
        engine: engine.engine.clone(),
        incarnation: member.address.incarnation,
        kind: EngineKind::SessionHost,
        service: engine.service.clone(),
        version: engine.version.clone(),
        address: member.address.rpc,
        zone: member.address.zone.clone(),
        ready: engine.ready,
        draining: engine.draining,
        slots: Some(engine.slots),
    })
}

pub(crate) async fn view(State(admin): AdminState) -> Json<ViewAnswer> {
    let view = current_view(&admin);
    let bundles = &admin.context.identity.bundles;
    Json(ViewAnswer {
        revision: view.revision,
        cluster: view.meta.cluster,
        core_leader: view.meta.leader.as_ref().filter(|l| !l.expired).map(|l| l.core),
        installed_bundle: bundles.installed(),
        newest_bundle: *bundles.watch_newest().borrow(),
        members: view.members.len(),
        engines: view.engines.len(),
    })
}

pub(crate) async fn windows(State(admin): AdminState) -> Json<Vec<WindowAnswer>> {
    let now = UnixMillis::now();
    let Some(installed_bundle) = installed_bundle(&admin) else { return Json(Vec::new()) };
    let answer = installed_bundle.bundle.windows.iter().map(|(name, window)| WindowAnswer {
        window: name.clone(),
        group: window.group.clone(),
        service: window.service.clone(),
        slots: window.slots,
        start_ms: window.start,
        end_ms: window.end,
        open: window.start <= now && now < window.end,
    });
    Json(answer.collect())
}

pub(crate) async fn slots(State(admin): AdminState) -> Json<Vec<SlotUsageAnswer>> {
    let usage = query_core_leader(&admin, &FetchSlotUsage).await;
    Json(usage.into_iter().map(SlotUsageAnswer::from).collect())
}

pub(crate) async fn rollouts(State(admin): AdminState) -> Json<RolloutsAnswer> {
    let statistics = query_core_leader(&admin, &FetchVersionStatistics).await;
    let view = current_view(&admin);
    let installed_bundle = installed_bundle(&admin);
    let services = installed_bundle.iter().flat_map(|i| i.bundle.services.iter());
    Json(RolloutsAnswer {
        bundle: installed_bundle.as_ref().map(|i| BundleVersion(i.record.version.0)),
        services: services.map(|(name, service)| service_rollout(name, service)).collect(),
        figures: statistics.iter().map(VersionMetrics::from).collect(),
        rollbacks: view
            .meta
            .rollbacks
            .iter()
            .map(|r| RollbackAnswer {
                bundle: r.bundle,
                harm: HarmAnswer::from(&r.harm),
                committed_ms: r.committed,
            })
            .collect(),
    })
}

fn service_rollout(name: &ServiceName, service: &Service) -> ServiceRollout {
    let versions_in = |state: VersionState| {
        service.versions.iter().filter(move |v| v.state == state).map(|v| v.version.clone())
    };
    let mut active_versions =
        versions_in(VersionState::Sound).collect::<Vec<_>>().into_iter().rev();
    ServiceRollout {
        service: name.clone(),
        newest: active_versions.next(),
        former: active_versions.next(),
        rolled_back: versions_in(VersionState::RolledBack).collect(),
    }
}

/// Queries the core leader through any core; returns an empty list if no core responds.
async fn query_core_leader<R, T>(admin: &AdminContext, request: &R) -> Vec<T>
where
    R: Request<Reply = Vec<T>>,
{
    let view = current_view(admin);
    let cores = view.members.values().filter(|m| m.address.role == NodeRole::Core);
    let cores: Vec<SocketAddr> = cores.map(|m| m.address.rpc).collect();
    for core in cores {
        let deadline = Instant::now() + CORE_TIMEOUT;
        if let Ok(answer) = admin.client().call(core, request, deadline).await {
            return answer;
        }
    }
    Vec::new()
}
