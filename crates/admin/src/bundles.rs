//! Handlers that submit and read bundles.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use hooklug_bundle::SignatureError;
use hooklug_protocol::control::{ClusterView, MemberHealth};
use hooklug_state::meta::{
    BundleRecord, MetaAnswer, MetaCommand, MetaQuery, MetaRefusal, MetaReply,
};
use hooklug_types::{BundleVersion, OperatorName};
use http::StatusCode;
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use crate::AdminContext;
use crate::answers::{BundleAnswer, BundleContent, Submission, SubmitAnswer};
use crate::problem::Problem;

type AdminState = State<Arc<AdminContext>>;

/// Timeout for the commit of a bundle.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time to wait until all live nodes have installed the bundle (requirement: about 2 s).
const INSTALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a read from the meta group.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Default number of records in a history response.
const HISTORY_RECORDS: u32 = 64;

/// Commits a bundle; any node accepts it, and the response is sent after the commit.
pub(crate) async fn submit(
    State(admin): AdminState,
    body: Bytes,
) -> Result<Json<SubmitAnswer>, Problem> {
    let submission = parse(&body)?;
    hooklug_bundle::validate(&submission.bundle).map_err(|f| Problem::invalid_bundle(&f))?;
    let signed_by = verify(&admin, &submission)?;
    let submit = admin.context.node.submission(&submission.bundle, signed_by);
    let command = MetaCommand::SubmitBundle(submit);
    let state = admin.context.state.clone();
    // Runs in its own task, so that a caller that disconnects does not cancel the commit.
    let committing =
        tokio::spawn(
            async move { state.execute_meta(&command, Instant::now() + COMMIT_TIMEOUT).await },
        );
    let reply = committing.await.map_err(|_| unexpected())??;
    let record = committed_record(reply)?;
    admin.context.identity.bundles.note_committed(record.version);
    let (live_nodes, installed_nodes) = wait_until_installed(&admin, record.version).await;
    Ok(Json(SubmitAnswer { bundle: BundleAnswer::from(&record), live_nodes, installed_nodes }))
}

fn parse(body: &[u8]) -> Result<Submission, Problem> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let submission = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        Problem::new(StatusCode::BAD_REQUEST, "bad_json", "the body does not decode")
            .field(e.path().to_string())
            .detail(e.inner().to_string())
    })?;
    reader.end().map_err(|e| {
        Problem::new(StatusCode::BAD_REQUEST, "bad_json", "the body does not decode")
            .detail(e.to_string())
    })?;
    hooklug_bundle::check_unique_keys(body).map_err(|e| {
        Problem::new(StatusCode::BAD_REQUEST, "bad_json", "a key is given twice")
            .field(e.path)
            .detail(e.message)
    })?;
    Ok(submission)
}

fn verify(admin: &AdminContext, submission: &Submission) -> Result<Vec<OperatorName>, Problem> {
    let operators = &admin.context.settings.operators;
    let digest = hooklug_bundle::digest(&submission.bundle);
    hooklug_bundle::verify(
        &digest,
        &submission.signatures,
        &operators.keys,
        operators.required_signatures,
    )
    .map_err(|error| {
        let code = match error {
            SignatureError::TooFew { .. } => "signatures_missing",
            _ => "bad_signature",
        };
        Problem::new(StatusCode::FORBIDDEN, code, "the bundle is not signed off")
            .field("signatures")
            .detail(error.to_string())
    })
}

fn committed_record(reply: MetaReply) -> Result<BundleRecord, Problem> {
    let refusal = match reply {
        MetaReply::Bundle(record) => return Ok(record),
        MetaReply::Refused(refusal) => refusal,
        _ => return Err(unexpected()),
    };
    let (status, code, title) = match &refusal {
        MetaRefusal::VersionTaken { .. } => {
            (StatusCode::CONFLICT, "version_taken", "the version has other content")
        }
        MetaRefusal::StaleBase { .. } => {
            (StatusCode::CONFLICT, "stale_base", "the base is not the newest version")
        }
        MetaRefusal::InvalidBundle { .. } => {
            (StatusCode::UNPROCESSABLE_ENTITY, "invalid_bundle", "the bundle is not valid")
        }
        MetaRefusal::NotFormed => {
            (StatusCode::SERVICE_UNAVAILABLE, "try_again", "the cluster is not formed yet")
        }
        _ => return Err(unexpected()),
    };
    let problem = Problem::new(status, code, title).detail(refusal.to_string());
    Err(match refusal {
        MetaRefusal::VersionTaken { digest, .. } => {
            problem.field("version").with("digest", digest.to_string())
        }
        MetaRefusal::StaleBase { newest } => problem.field("base").with("newest", newest.0),
        _ => problem,
    })
}

fn unexpected() -> Problem {
    Problem::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "unexpected",
        "the stores answered unexpectedly",
    )
}

/// Waits until all live nodes have installed the version, for [`INSTALL_TIMEOUT`] at most, and
/// returns the numbers of live nodes and of those that have installed it.
async fn wait_until_installed(admin: &AdminContext, version: BundleVersion) -> (usize, usize) {
    let mut view = admin.context.node.view.clone();
    let all = view.wait_for(|view| {
        let (live, installed) = count_installed(view, version);
        live > 0 && live == installed
    });
    // After a timeout the nodes that have not installed the version are counted as missing.
    let _ = timeout_at(Instant::now() + INSTALL_TIMEOUT, all).await;
    count_installed(&view.borrow(), version)
}

fn count_installed(view: &ClusterView, version: BundleVersion) -> (usize, usize) {
    let live = view.members.values().filter(|m| m.health == MemberHealth::Alive);
    let installed = live.clone().filter(|m| m.bundle >= version).count();
    (live.count(), installed)
}

/// Query parameters of the bundle history.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HistoryQuery {
    limit: Option<u32>,
}

pub(crate) async fn history(
    State(admin): AdminState,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Vec<BundleAnswer>>, Problem> {
    let query = MetaQuery::History(query.limit.unwrap_or(HISTORY_RECORDS));
    match admin.context.state.query_meta(&query, Instant::now() + READ_TIMEOUT).await? {
        MetaAnswer::History(records) => Ok(Json(records.iter().map(BundleAnswer::from).collect())),
        _ => Err(unexpected()),
    }
}

/// Returns a committed bundle by its version number, or the newest one for `current`.
pub(crate) async fn show(
    State(admin): AdminState,
    Path(version): Path<String>,
) -> Result<Json<BundleContent>, Problem> {
    let requested = match version.as_str() {
        "current" => None,
        number => Some(BundleVersion(number.parse().map_err(|_| {
            Problem::bad_field("version", format!("is {number:?}, must be a number or `current`"))
        })?)),
    };
    let query = MetaQuery::BundleBytes(requested);
    let answer = admin.context.state.query_meta(&query, Instant::now() + READ_TIMEOUT).await?;
    let MetaAnswer::BundleBytes(found) = answer else { return Err(unexpected()) };
    let (record, bytes) =
        found.ok_or_else(|| Problem::not_found("no_bundle", "there is no such bundle"))?;
    let bundle = hooklug_bundle::decode(&bytes).map_err(|e| unexpected().detail(e.to_string()))?;
    Ok(Json(BundleContent { record: BundleAnswer::from(&record), bundle }))
}
