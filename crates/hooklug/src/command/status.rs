//! `hooklug status`: the whole cluster on one page.

use std::collections::BTreeMap;

use hooklug_admin::answers::{
    EngineAnswer, MemberAnswer, RolloutsAnswer, SessionsAnswer, ShardAnswer, SlotUseAnswer,
    ViewAnswer, WindowAnswer,
};
use hooklug_control::view::{revision_count, revision_epoch};
use hooklug_types::ServiceVersion;
use serde::Serialize;

use super::{print, print_json};
use crate::Outcome;
use crate::cli::{OutputFormat, StatusArgs};
use crate::operator_client::OperatorClient;
use crate::table::{Table, or_dash};

/// All that `hooklug status` shows.
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
    slots: Vec<SlotUseAnswer>,
}

pub(crate) async fn run(args: &StatusArgs) -> anyhow::Result<Outcome> {
    let status = gather(&OperatorClient::new(&args.node)?).await?;
    match args.output {
        OutputFormat::Json => print_json(&status)?,
        OutputFormat::Table => print(&render(&status))?,
    }
    Ok(Outcome::Done)
}

async fn gather(client: &OperatorClient) -> anyhow::Result<Status> {
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
    let head = format!(
        "cluster {:016x}, view {}.{}, bundle {} in force here (newest heard of: {})\n\n",
        view.cluster,
        revision_epoch(view.revision),
        revision_count(view.revision),
        view.installed_bundle,
        view.newest_bundle
    );
    [
        head,
        members(&status.members),
        engines(&status.engines),
        shards(&status.shards),
        versions(&status.rollouts),
        figures(&status.rollouts),
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
        let note = match (member.core_leader, member.store) {
            (true, _) => "leads the cores".to_owned(),
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
            note,
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
                let lag = r.lag.map_or_else(|| "no answer".to_owned(), |lag| lag.to_string());
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
    let mut table = Table::new(&["service", "newest", "before", "rolled back"]);
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

fn figures(rollouts: &RolloutsAnswer) -> String {
    let header = ["service", "version", "route", "ended well", "failed", "p95 (ms)"];
    let mut table = Table::new(&header);
    for figure in &rollouts.figures {
        table.row(vec![
            figure.service.to_string(),
            figure.version.to_string(),
            figure.route.to_string(),
            figure.successes.to_string(),
            figure.failures.to_string(),
            or_dash(figure.p95_ms),
        ]);
    }
    table.render("figures of the last minute")
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
    table.render("roll-backs by the system")
}

fn sessions(status: &Status) -> String {
    let mut table = Table::new(&["owner", "open sessions"]);
    for (owner, count) in &status.sessions_by_owner {
        table.row(vec![owner.clone(), count.to_string()]);
    }
    let mut text = table.render("sessions by owner");
    if !status.unread_groups.is_empty() {
        text.push_str(&format!("  not read: {}\n\n", status.unread_groups.join(", ")));
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

fn slots(uses: &[SlotUseAnswer]) -> String {
    let header = ["service", "group", "engines", "reserved", "used", "borrowed"];
    let mut table = Table::new(&header);
    for one in uses {
        table.row(vec![
            one.service.to_string(),
            or_dash(one.group.as_ref()),
            one.engines.to_string(),
            one.reserved.to_string(),
            one.used.to_string(),
            one.borrowed.to_string(),
        ]);
    }
    table.render("slots in use")
}
