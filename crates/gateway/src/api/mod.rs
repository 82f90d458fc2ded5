//! The callers' HTTP API (docs/API.md): one handler per row of its table.

pub mod admission;
pub mod auth;
pub mod body;
pub mod calls;
pub mod problem;
pub mod programs;
pub mod refusals;
mod request;
pub mod sessions;
pub mod sse;
pub mod turns;
pub mod views;

use std::sync::Arc;

use axum::Router;
use axum::middleware::from_fn_with_state;
use axum::routing::{get, post, put};

use crate::shared::Shared;

/// Builds the router with the routes of docs/API.md.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/programs/{program}", put(programs::put).get(programs::get))
        .route(
            "/v1/programs/{program}/sessions/{session}",
            put(sessions::put).get(sessions::get).delete(sessions::delete),
        )
        .route("/v1/programs/{program}/sessions/{session}/events", get(sessions::events))
        .route(
            "/v1/programs/{program}/sessions/{session}/tool-results",
            post(sessions::tool_result),
        )
        .route("/v1/programs/{program}/sessions/{session}/turns", post(turns::post))
        .route("/v1/programs/{program}/sessions/{session}/turns/{turn}", get(turns::get))
        .route("/v1/programs/{program}/sessions/{session}/turns/{turn}/events", get(turns::events))
        .route("/v1/programs/{program}/sessions/{session}/turns/{turn}/abort", post(turns::abort))
        .route("/v1/programs/{program}/calls/{call}", put(calls::put).get(calls::get))
        .route("/v1/programs/{program}/calls/{call}/seal", post(calls::seal))
        .route_layer(from_fn_with_state(shared.clone(), admission::admit))
        .with_state(shared.clone())
}
