//! Implementation of `hooklug sessions ...`.

use hooklug_admin::answers::{SessionAnswer, SessionsAnswer};

use super::{print, print_json};
use crate::CommandOutcome;
use crate::cli::{OutputFormat, SessionsListArgs, SessionsShowArgs};
use crate::operator_client::OperatorClient;
use crate::table::{Table, or_dash};

pub(crate) async fn list(args: &SessionsListArgs) -> anyhow::Result<CommandOutcome> {
    let client = OperatorClient::new(&args.node)?;
    let mut path = format!("/admin/v1/sessions?limit={}", args.limit);
    if let Some(owner) = &args.owner {
        path.push_str(&format!("&owner={owner}"));
    }
    let answer: SessionsAnswer = client.get(&path).await?;
    if args.output == OutputFormat::Json {
        print_json(&answer)?;
        return Ok(CommandOutcome::Done);
    }
    let header = ["program", "session", "owner", "epoch", "service", "version", "open turn"];
    let mut table = Table::new(&header);
    for session in answer.sessions {
        table.row(vec![
            session.program,
            session.session,
            or_dash(session.owner),
            session.epoch.to_string(),
            session.service.to_string(),
            session.version.to_string(),
            or_dash(session.open_turn),
        ]);
    }
    let mut text = table.render("sessions");
    if !answer.unread_groups.is_empty() {
        text.push_str(&format!("groups not read: {}\n", answer.unread_groups.join(", ")));
    }
    print(&text)?;
    Ok(CommandOutcome::Done)
}

pub(crate) async fn show(args: &SessionsShowArgs) -> anyhow::Result<CommandOutcome> {
    let client = OperatorClient::new(&args.node)?;
    let path = format!("/admin/v1/sessions/{}/{}", args.program, args.session);
    let session: SessionAnswer = client.get(&path).await?;
    print_json(&session)?;
    Ok(CommandOutcome::Done)
}
