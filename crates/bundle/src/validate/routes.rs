//! Validation of routes.

use std::collections::BTreeMap;

use hooklug_types::RouteName;

use super::ValidationErrors;
use crate::{Bundle, Route, RouteMatch, ServiceKind};

/// Maximum deadline of a route, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Maximum length of a tool name, in bytes.
const MAX_TOOL_BYTES: usize = 96;

pub(super) fn check(bundle: &Bundle, errors: &mut ValidationErrors) {
    let mut matched: BTreeMap<(u8, &str), &RouteName> = BTreeMap::new();
    for (name, route) in &bundle.routes {
        let path = format!("routes.{name}");
        check_service(bundle, &path, route, errors);
        check_match(&path, &route.matches, errors);
        errors.require(
            (1..=MAX_DEADLINE_MS).contains(&route.deadline_ms),
            format!("{path}.deadline_ms"),
            format!("is {}, must be from 1 to {MAX_DEADLINE_MS}", route.deadline_ms),
        );
        if let Some(other) = matched.insert(match_key(&route.matches), name) {
            errors.add(format!("{path}.match"), format!("is the same as that of route {other}"));
        }
    }
}

fn match_key(matches: &RouteMatch) -> (u8, &str) {
    match matches {
        RouteMatch::Session { model } => (0, model.as_str()),
        RouteMatch::Tool { tool } => (1, tool.as_str()),
    }
}

fn check_service(bundle: &Bundle, path: &str, route: &Route, errors: &mut ValidationErrors) {
    let path = format!("{path}.service");
    let Some(service) = bundle.services.get(&route.service) else {
        errors.add(path, format!("is {}, which is not a service of the bundle", route.service));
        return;
    };
    match (&route.matches, service.kind) {
        (RouteMatch::Session { .. }, ServiceKind::Application) => errors.add(
            path,
            format!("is {}, an application service; sessions need a model service", route.service),
        ),
        (RouteMatch::Tool { .. }, ServiceKind::Model) => errors.add(
            path,
            format!("is {}, a model service; tools need an application service", route.service),
        ),
        (RouteMatch::Session { model }, ServiceKind::Model) => {
            if let Some(served) = service.model.as_ref().filter(|served| *served != model) {
                errors.add(path, format!("is {}, which runs {served}, not {model}", route.service));
            }
        }
        (RouteMatch::Tool { .. }, ServiceKind::Application) => {}
    }
}

fn check_match(path: &str, matches: &RouteMatch, errors: &mut ValidationErrors) {
    let RouteMatch::Tool { tool } = matches else { return };
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    let valid = !tool.is_empty() && tool.len() <= MAX_TOOL_BYTES && tool.chars().all(allowed);
    errors.require(
        valid,
        format!("{path}.match.tool"),
        format!("is {tool:?}, must be 1 to {MAX_TOOL_BYTES} letters, digits, '.', '_', '-' or ':'"),
    );
}
