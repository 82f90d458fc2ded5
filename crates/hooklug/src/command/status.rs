//! Implementation of `hooklug status`, which shows the state of the cluster.

use std::collections::BTreeMap;

use hooklug_admin::answers::{
    EngineAnswer, MemberAnswer, RolloutsAnswer, SessionsAnswer, ShardAnswer, SlotUsageAnswer,
    ViewAnswer, WindowAnswer,
};
use hooklug_control::view::{revision_count, revision_epoch};
use hooklug_types::ServiceVersion;
use serde::Serialize;

use super::{print, print_json};
use crate::CommandOutcome;
use crate::cli::{OutputFormat, StatusArgs};
use crate::operator_client::OperatorClient;
use crate::table::{Table, or_dash};

/// Data shown by `hooklug status`; the JSON output is this struct.
#[derive(Debug, Serialize)]
struct Status {
    view: ViewAnswer,
    members: Vec<MemberAnswer>,
    engines: Vec<EngineAnswer>,
    shards: Vec<ShardAnswer>,
    rollouts: RolloutsAnswer,
    sessions_by_owner: BTreeMap<String, usize>,
    unread_groups: Vec<String>,
    windows: Vec<WindowAnswer>,
    slots: Vec<SlotUsageAnswer>,
}

pub(crate) async fn run(args: &StatusArgs) -> anyhow::Result<CommandOutcome> {
    let status = fetch_status(&OperatorClient::new(&args.node)?).await?;
    match args.output {
        OutputFormat::Json => print_json(&status)?,
        OutputFormat::Table => print(&render(&status))?,
    }
    Ok(CommandOutcome::Done)
}

async fn fetch_status(client: &OperatorClient) -> anyhow::Result<Status> {
    let sessions: SessionsAnswer = client.get("/admin/v1/sessions?limit=0").await?;
    Ok(Status {
        view: client.get("/admin/v1/view").await?,
        members: client.get("/admin/v1/members").await?,
        engines: client.get("/admin/v1/engines").await?,
        shards: client.get("/admin/v1/shards").await?,
        rollouts: client.get("/admin/v1/rollouts").await?,
        sessions_by_owner: sessions.by_owner,
        unread_groups: sessions.unread_groups,
        windows: client.get("/admin/v1/windows").await?,
        slots: client.get("/admin/v1/slots").await?,
    })
}

fn render(status: &Status) -> String {
    let view = &status.view;
    let summary = format!(
        "cluster {:016x}, view {}.{}, bundle {} installed on this node (newest known: {})\n\n",
        view.cluster,
        revision_epoch(view.revision),
        revision_count(view.revision),
        view.installed_bundle,
        view.newest_bundle
    );
    [
        summary,
        members(&status.members),
        engines(&status.engines),
        shards(&status.shards),
        versions(&status.rollouts),
        statistics(&status.rollouts),
        rollbacks(&status.rollouts),
        sessions(status),
        windows(&status.windows),
        slots(&status.slots),
    ]
    .concat()
}

fn members(members: &[MemberAnswer]) -> String {
    let mut table = Table::new(&["node", "role", "zone", "rpc", "http", "health", "bundle", ""]);
    for member in members {
        let detail = match (member.core_leader, member.store) {
            (true, _) => "core leader".to_owned(),
            (false, Some(state)) => format!("{state:?}").to_lowercase(),
            (false, None) => String::new(),
        };
        table.row(vec![
            member.node.to_string(),
            member.role.to_string(),
            member.zone.to_string(),
            member.rpc.to_string(),
            member.http.to_string(),
            format!("{:?}", member.health).to_lowercase(),
            member.bundle.to_string(),
            detail,
        ]);
    }
    table.render("members")
}

fn engines(engines: &[EngineAnswer]) -> String {
    let header = ["engine", "kind", "service", "version", "address", "zone", "state", "slots"];
    let mut table = Table::new(&header);
    for engine in engines {
        let state = match (engine.ready, engine.draining) {
            (_, true) => "draining",
            (true, false) => "ready",
            (false, false) => "not ready",
        };
        table.row(vec![
            engine.engine.to_string(),
            format!("{:?}", engine.kind),
            engine.service.to_string(),
            engine.version.to_string(),
            engine.address.to_string(),
            engine.zone.to_string(),
            state.to_owned(),
            or_dash(engine.slots),
        ]);
    }
    table.render("engines")
}

fn shards(shards: &[ShardAnswer]) -> String {
    let mut table = Table::new(&["group", "leader", "commit", "replicas (store: member, lag)"]);
    for shard in shards {
        let replicas: Vec<String> = shard
            .replicas
            .iter()
            .map(|r| {
                let lag = r.lag.map_or_else(|| "no response".to_owned(), |lag| lag.to_string());
                format!("{}: {}, {lag}", r.store, r.member)
            })
            .collect();
        table.row(vec![
            shard.group.clone(),
            or_dash(shard.leader),
            shard.commit.to_string(),
            replicas.join("; "),
        ]);
    }
    table.render("shards")
}

fn versions(rollouts: &RolloutsAnswer) -> String {
    let mut table = Table::new(&["service", "newest", "previous", "rolled back"]);
    for service in &rollouts.services {
        let rolled_back: Vec<&str> =
            service.rolled_back.iter().map(ServiceVersion::as_str).collect();
        table.row(vec![
            service.service.to_string(),
            or_dash(service.newest.as_ref()),
            or_dash(service.former.as_ref()),
            rolled_back.join(", "),
        ]);
    }
    table.render("versions")
}

fn statistics(rollouts: &RolloutsAnswer) -> String {
    let header = ["service", "version", "route", "succeeded", "failed", "p95 (ms)"];
    let mut table = Table::new(&header);
    for version in &rollouts.figures {
        table.row(vec![
            version.service.to_string(),
            version.version.to_string(),
            version.route.to_string(),
            version.successes.to_string(),
            version.failures.to_string(),
            or_dash(version.p95_ms),
        ]);
    }
    table.render("statistics of the last minute")
}

fn rollbacks(rollouts: &RolloutsAnswer) -> String {
    let mut table = Table::new(&["bundle", "service", "version", "route", "reason"]);
    for rollback in &rollouts.rollbacks {
        table.row(vec![
            rollback.bundle.to_string(),
            rollback.harm.service.to_string(),
            rollback.harm.version.to_string(),
            or_dash(rollback.harm.route.as_ref()),
            rollback.harm.reason.clone(),
        ]);
    }
    table.render("automatic rollbacks")
}

fn sessions(status: &Status) -> String {
    let mut table = Table::new(&["owner", "open sessions"]);
    for (owner, count) in &status.sessions_by_owner {
        table.row(vec![owner.clone(), count.to_string()]);
    }
    let mut text = table.render("sessions by owner");
    if !status.unread_groups.is_empty() {
        text.push_str(&format!("  groups not read: {}\n\n", status.unread_groups.join(", ")));
    }
    text
}

fn windows(windows: &[WindowAnswer]) -> String {
    let header = ["window", "group", "service", "slots", "from (ms)", "to (ms)", "state"];
    let mut table = Table::new(&header);
    for window in windows {
        table.row(vec![
            window.window.to_string(),
            window.group.to_string(),
            window.service.to_string(),
            window.slots.to_string(),
            window.start_ms.to_string(),
            window.end_ms.to_string(),
            if window.open { "open" } else { "closed" }.to_owned(),
        ]);
    }
    table.render("windows")
}

fn slots(usages: &[SlotUsageAnswer]) -> String {
    let header = ["service", "group", "engines", "reserved", "used", "borrowed"];
    let mut table = Table::new(&header);
    for usage in usages {
        table.row(vec![
            usage.service.to_string(),
            or_dash(usage.group.as_ref()),
            usage.engines.to_string(),
            usage.reserved.to_string(),
            usage.used.to_string(),
            usage.borrowed.to_string(),
        ]);
    }
    table.render("slots in use")
}
