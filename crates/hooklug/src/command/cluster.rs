//! Implementation of `hooklug cluster ...`.

use crate::CommandOutcome;
use crate::cli::RetireArgs;
use crate::operator_client::OperatorClient;

pub(crate) async fn retire(args: &RetireArgs) -> anyhow::Result<CommandOutcome> {
    let client = OperatorClient::new(&args.node)?;
    client.post_empty(&format!("/admin/v1/stores/{}/retire", args.store)).await?;
    println!(
        "store {} is retiring; `hooklug status` shows which of its replicas have not moved yet",
        args.store
    );
    Ok(CommandOutcome::Done)
}
