//! Finds the route of a request: the route of the host with the longest matching path prefix. No I/O.

use std::collections::HashMap;
use std::sync::Arc;

use hooklug_bundle::http::{HttpRoute, HttpRouting};
use hooklug_types::{RouteName, ServiceName};
use rand::{Rng, RngExt};

/// A route with its name.
#[derive(Debug, Clone)]
pub struct NamedRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Definition of the route in the bundle.
    pub route: HttpRoute,
}

/// Routes by host, longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<NamedRoute>>>,
}

impl RouteTable {
    /// Builds the table of a bundle's routes.
    #[must_use]
    pub fn new(routing: &HttpRouting) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<NamedRoute>>> = HashMap::new();
        for (name, route) in &routing.routes {
            let named = NamedRoute { name: name.clone(), route: route.clone() };
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(named));
        }
        let longest_first = |r: &Arc<NamedRoute>| std::cmp::Reverse(r.route.path_prefix.len());
        hosts.values_mut().for_each(|routes| routes.sort_by_key(longest_first));
        Self { hosts }
    }

    /// Finds the route of a host and path. A port after the host is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.route.path_prefix))
    }
}

/// Selects one of a route's pools at random by weight; `None` if all weights are 0.
pub fn pick_service<'a>(route: &'a HttpRoute, rng: &mut impl Rng) -> Option<&'a ServiceName> {
    let total: u32 = route.backends.iter().map(|backend| backend.weight).sum();
    if total == 0 {
        return None;
    }
    let mut point = rng.random_range(0..total);
    for backend in &route.backends {
        if point < backend.weight {
            return Some(&backend.service);
        }
        point -= backend.weight;
    }
    None
}
