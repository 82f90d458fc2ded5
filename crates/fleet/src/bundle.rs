//! Builds a configuration bundle from a topology.

use std::collections::BTreeMap;

use hooklug_bundle::{
    Bundle, HarmThresholds, Route, RouteMatch, Service, ServiceKind, Tenant, TenantLimits,
    VersionEntry, VersionState,
};
use hooklug_types::{BundleVersion, IdError, RouteName, ServiceName, ServiceVersion};

use crate::topology::{ApplicationGroup, ModelGroup, Topology};

impl Topology {
    /// Builds a bundle with all services, versions, tools and tenants of the topology.
    ///
    /// # Errors
    /// When the name of a tool is not a valid route name.
    pub fn bundle(&self, version: BundleVersion, base: BundleVersion) -> Result<Bundle, IdError> {
        let mut bundle = Bundle { version, base, ..Bundle::default() };
        for group in &self.models {
            add_model(&mut bundle, group)?;
        }
        for group in &self.applications {
            add_application(&mut bundle, group)?;
        }
        for id in &self.tenants {
            let limits = TenantLimits::default();
            let tenant = Tenant { key_digests: Vec::new(), group: None, limits };
            bundle.tenants.insert(id.clone(), tenant);
        }
        Ok(bundle)
    }
}

fn add_model(bundle: &mut Bundle, group: &ModelGroup) -> Result<(), IdError> {
    let slots = group.slots * u32::try_from(group.engines).unwrap_or(u32::MAX);
    let service = service_entry(&mut bundle.services, &group.service, ServiceKind::Model);
    service.model = Some(group.model.clone());
    service.slots += slots;
    add_version(service, &group.version);
    let matches = RouteMatch::Session { model: group.model.clone() };
    let name = RouteName::new(format!("sessions-{}", group.model))?;
    bundle.routes.insert(name, route(matches, &group.service, false, false, 120_000));
    Ok(())
}

fn add_application(bundle: &mut Bundle, group: &ApplicationGroup) -> Result<(), IdError> {
    let engines = u32::try_from(group.engines).unwrap_or(u32::MAX);
    let service = service_entry(&mut bundle.services, &group.service, ServiceKind::Application);
    service.slots += group.slots * engines;
    add_version(service, &group.version);
    for tool in &group.tools {
        let matches = RouteMatch::Tool { tool: tool.name.clone() };
        let tool_route = route(matches, &group.service, tool.may_repeat, tool.urgent, 10_000);
        bundle.routes.insert(RouteName::new(&tool.name)?, tool_route);
    }
    Ok(())
}

fn service_entry<'a>(
    services: &'a mut BTreeMap<ServiceName, Service>,
    name: &ServiceName,
    kind: ServiceKind,
) -> &'a mut Service {
    services.entry(name.clone()).or_insert_with(|| Service {
        kind,
        model: None,
        versions: Vec::new(),
        slots: 0,
        concurrency_per_engine: 64,
        queue_per_engine: 256,
        steps: vec![5, 25, 50, 100],
        step_seconds: 5,
        harm: HarmThresholds::default(),
    })
}

fn add_version(service: &mut Service, version: &ServiceVersion) {
    if !service.versions.iter().any(|entry| entry.version == *version) {
        let state = VersionState::Sound;
        service.versions.push(VersionEntry { version: version.clone(), state });
    }
}

fn route(
    matches: RouteMatch,
    service: &ServiceName,
    may_repeat: bool,
    urgent: bool,
    deadline_ms: u64,
) -> Route {
    Route { matches, service: service.clone(), may_repeat, deadline_ms, urgent }
}
