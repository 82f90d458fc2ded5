//! `hooklug cluster ...`.

use crate::Outcome;
use crate::cli::RetireArgs;
use crate::operator_client::OperatorClient;

pub(crate) async fn retire(args: &RetireArgs) -> anyhow::Result<Outcome> {
    let client = OperatorClient::new(&args.node)?;
    client.post_empty(&format!("/admin/v1/stores/{}/retire", args.store)).await?;
    println!(
        "store {} is retiring; its replicas move away, `hooklug status` shows when none is left",
        args.store
    );
    Ok(Outcome::Done)
}
