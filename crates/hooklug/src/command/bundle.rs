//! Implementation of `hooklug bundle ...`.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

use anyhow::{Context, anyhow};
use hooklug_admin::answers::{BundleAnswer, BundleContent, Submission, SubmitAnswer};
use hooklug_bundle::{Bundle, TextFormat};
use hooklug_types::{BundleVersion, OperatorName};

use super::{print, print_json};
use crate::CommandOutcome;
use crate::cli::{HistoryArgs, OutputFormat, RollbackArgs, ShowArgs, SignArgs, SubmitArgs};
use crate::operator_client::OperatorClient;
use crate::table::Table;

fn read_text(file: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

fn read_bundle(file: &Path) -> anyhow::Result<Bundle> {
    let text = read_text(file)?;
    hooklug_bundle::parse(&text, TextFormat::guess(&text))
        .map_err(|error| anyhow!("cannot parse the bundle {}: {error}", file.display()))
}

pub(crate) fn validate(file: &Path) -> anyhow::Result<CommandOutcome> {
    let text = read_text(file)?;
    let bundle = match hooklug_bundle::parse(&text, TextFormat::guess(&text)) {
        Ok(bundle) => bundle,
        Err(error) => {
            eprintln!("{error}");
            return Ok(CommandOutcome::Invalid);
        }
    };
    let Err(errors) = hooklug_bundle::validate(&bundle) else {
        println!("bundle {} is valid, digest {}", bundle.version, hooklug_bundle::digest(&bundle));
        return Ok(CommandOutcome::Done);
    };
    for error in &errors {
        eprintln!("{error}");
    }
    eprintln!("{} errors", errors.len());
    Ok(CommandOutcome::Invalid)
}

pub(crate) fn diff(before: &Path, after: &Path) -> anyhow::Result<CommandOutcome> {
    for change in hooklug_bundle::diff(&read_bundle(before)?, &read_bundle(after)?) {
        println!("{change}");
    }
    Ok(CommandOutcome::Done)
}

pub(crate) fn keygen(out: &Path) -> anyhow::Result<CommandOutcome> {
    let keys = hooklug_bundle::generate_key_pair();
    let mut file =
        new_private_file(out).with_context(|| format!("cannot create {}", out.display()))?;
    writeln!(file, "{}", keys.secret)?;
    file.sync_all()?;
    println!("{}", keys.public);
    Ok(CommandOutcome::Done)
}

/// Creates a new file that only its owner can read and write.
fn new_private_file(path: &Path) -> std::io::Result<std::fs::File> {
    use std::os::unix::fs::OpenOptionsExt;
    std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)
}

fn sign_with(bundle: &Bundle, secret_file: &Path) -> anyhow::Result<String> {
    let secret = std::fs::read_to_string(secret_file)
        .with_context(|| format!("cannot read {}", secret_file.display()))?;
    Ok(hooklug_bundle::sign(&hooklug_bundle::digest(bundle), &secret)?)
}

pub(crate) fn sign(args: &SignArgs) -> anyhow::Result<CommandOutcome> {
    let signature = sign_with(&read_bundle(&args.file)?, &args.signer.secret_file)?;
    println!("{}={signature}", args.signer.operator);
    Ok(CommandOutcome::Done)
}

pub(crate) async fn submit(args: &SubmitArgs) -> anyhow::Result<CommandOutcome> {
    let bundle = read_bundle(&args.file)?;
    let signatures =
        args.signatures.iter().map(|s| (s.operator.clone(), s.signature.clone())).collect();
    submit_signed(&OperatorClient::new(&args.node)?, bundle, signatures, args.output).await
}

async fn submit_signed(
    client: &OperatorClient,
    bundle: Bundle,
    signatures: BTreeMap<OperatorName, String>,
    output: OutputFormat,
) -> anyhow::Result<CommandOutcome> {
    let submission = Submission { bundle, signatures };
    let answer: SubmitAnswer = client.post("/admin/v1/bundles", &submission).await?;
    match output {
        OutputFormat::Json => print_json(&answer)?,
        OutputFormat::Table => println!(
            "bundle {} committed, digest {}; installed on {} of {} live nodes",
            answer.bundle.version, answer.bundle.digest, answer.installed_nodes, answer.live_nodes
        ),
    }
    Ok(CommandOutcome::Done)
}

pub(crate) async fn show(args: &ShowArgs) -> anyhow::Result<CommandOutcome> {
    let client = OperatorClient::new(&args.node)?;
    let content: BundleContent = client.get(&format!("/admin/v1/bundles/{}", args.version)).await?;
    print_json(&content.bundle)?;
    Ok(CommandOutcome::Done)
}

pub(crate) async fn history(args: &HistoryArgs) -> anyhow::Result<CommandOutcome> {
    let client = OperatorClient::new(&args.node)?;
    let path = format!("/admin/v1/bundles?limit={}", args.limit);
    let records: Vec<BundleAnswer> = client.get(&path).await?;
    if args.output == OutputFormat::Json {
        print_json(&records)?;
        return Ok(CommandOutcome::Done);
    }
    let mut table = Table::new(&["version", "base", "committed (ms)", "created by", "digest"]);
    for record in records {
        let created_by = match &record.rollback {
            Some(harm) => format!("system: {} {} {}", harm.service, harm.version, harm.reason),
            None => {
                let names: Vec<&str> = record.signed_by.iter().map(OperatorName::as_str).collect();
                format!("operators: {}", names.join(", "))
            }
        };
        table.row(vec![
            record.version.to_string(),
            record.base.to_string(),
            record.committed_ms.to_string(),
            created_by,
            record.digest.chars().take(16).collect(),
        ]);
    }
    print(&table.render("bundles"))?;
    Ok(CommandOutcome::Done)
}

pub(crate) async fn rollback(args: &RollbackArgs) -> anyhow::Result<CommandOutcome> {
    let client = OperatorClient::new(&args.node)?;
    let earlier: BundleContent = client.get(&format!("/admin/v1/bundles/{}", args.to)).await?;
    let newest: BundleContent = client.get("/admin/v1/bundles/current").await?;
    let base = newest.record.version;
    let bundle = Bundle { version: BundleVersion(base.0 + 1), base, ..earlier.bundle };
    let mut signatures = BTreeMap::new();
    if let (Some(operator), Some(secret_file)) = (&args.operator, &args.secret_file) {
        signatures.insert(operator.clone(), sign_with(&bundle, secret_file)?);
    }
    submit_signed(&client, bundle, signatures, args.output).await
}
