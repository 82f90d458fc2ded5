//! `hooklug bundle ...`.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

use anyhow::{Context, anyhow};
use hooklug_admin::answers::{BundleAnswer, BundleContent, Submission, SubmitAnswer};
use hooklug_bundle::{Bundle, TextFormat};
use hooklug_types::{BundleVersion, OperatorName};

use super::{print, print_json};
use crate::Outcome;
use crate::cli::{HistoryArgs, OutputFormat, RollbackArgs, ShowArgs, SignArgs, SubmitArgs};
use crate::operator_client::OperatorClient;
use crate::table::Table;

fn read_text(file: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

fn read(file: &Path) -> anyhow::Result<Bundle> {
    let text = read_text(file)?;
    hooklug_bundle::parse(&text, TextFormat::guess(&text))
        .map_err(|fault| anyhow!("{}: {fault}", file.display()))
}

pub(crate) fn validate(file: &Path) -> anyhow::Result<Outcome> {
    let text = read_text(file)?;
    let bundle = match hooklug_bundle::parse(&text, TextFormat::guess(&text)) {
        Ok(bundle) => bundle,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(Outcome::Faults);
        }
    };
    let Err(faults) = hooklug_bundle::validate(&bundle) else {
        println!("bundle {} is valid, digest {}", bundle.version, hooklug_bundle::digest(&bundle));
        return Ok(Outcome::Done);
    };
    for fault in &faults {
        eprintln!("{fault}");
    }
    eprintln!("{} faults", faults.len());
    Ok(Outcome::Faults)
}

pub(crate) fn diff(before: &Path, after: &Path) -> anyhow::Result<Outcome> {
    for change in hooklug_bundle::diff(&read(before)?, &read(after)?) {
        println!("{change}");
    }
    Ok(Outcome::Done)
}

pub(crate) fn keygen(out: &Path) -> anyhow::Result<Outcome> {
    let keys = hooklug_bundle::generate_key_pair();
    let mut file =
        new_private_file(out).with_context(|| format!("cannot create {}", out.display()))?;
    writeln!(file, "{}", keys.secret)?;
    file.sync_all()?;
    println!("{}", keys.public);
    Ok(Outcome::Done)
}

/// A new file that only its owner reads.
fn new_private_file(path: &Path) -> std::io::Result<std::fs::File> {
    use std::os::unix::fs::OpenOptionsExt;
    std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)
}

fn sign_with(bundle: &Bundle, secret_file: &Path) -> anyhow::Result<String> {
    let secret = std::fs::read_to_string(secret_file)
        .with_context(|| format!("cannot read {}", secret_file.display()))?;
    Ok(hooklug_bundle::sign(&hooklug_bundle::digest(bundle), &secret)?)
}

pub(crate) fn sign(args: &SignArgs) -> anyhow::Result<Outcome> {
    let signature = sign_with(&read(&args.file)?, &args.signer.secret_file)?;
    println!("{}={signature}", args.signer.operator);
    Ok(Outcome::Done)
}

pub(crate) async fn submit(args: &SubmitArgs) -> anyhow::Result<Outcome> {
    let bundle = read(&args.file)?;
    let signatures =
        args.signatures.iter().map(|s| (s.operator.clone(), s.signature.clone())).collect();
    send(&OperatorClient::new(&args.node)?, bundle, signatures, args.output).await
}

async fn send(
    client: &OperatorClient,
    bundle: Bundle,
    signatures: BTreeMap<OperatorName, String>,
    output: OutputFormat,
) -> anyhow::Result<Outcome> {
    let submission = Submission { bundle, signatures };
    let answer: SubmitAnswer = client.post("/admin/v1/bundles", &submission).await?;
    match output {
        OutputFormat::Json => print_json(&answer)?,
        OutputFormat::Table => println!(
            "bundle {} committed, digest {}; in force at {} of {} live nodes",
            answer.bundle.version, answer.bundle.digest, answer.installed_nodes, answer.live_nodes
        ),
    }
    Ok(Outcome::Done)
}

pub(crate) async fn show(args: &ShowArgs) -> anyhow::Result<Outcome> {
    let client = OperatorClient::new(&args.node)?;
    let content: BundleContent = client.get(&format!("/admin/v1/bundles/{}", args.version)).await?;
    print_json(&content.bundle)?;
    Ok(Outcome::Done)
}

pub(crate) async fn history(args: &HistoryArgs) -> anyhow::Result<Outcome> {
    let client = OperatorClient::new(&args.node)?;
    let path = format!("/admin/v1/bundles?limit={}", args.limit);
    let records: Vec<BundleAnswer> = client.get(&path).await?;
    if args.output == OutputFormat::Json {
        print_json(&records)?;
        return Ok(Outcome::Done);
    }
    let mut table = Table::new(&["version", "base", "committed (ms)", "made by", "digest"]);
    for record in records {
        let made_by = match &record.rollback {
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
            made_by,
            record.digest.chars().take(16).collect(),
        ]);
    }
    print(&table.render("bundles"))?;
    Ok(Outcome::Done)
}

pub(crate) async fn rollback(args: &RollbackArgs) -> anyhow::Result<Outcome> {
    let client = OperatorClient::new(&args.node)?;
    let earlier: BundleContent = client.get(&format!("/admin/v1/bundles/{}", args.to)).await?;
    let newest: BundleContent = client.get("/admin/v1/bundles/current").await?;
    let base = newest.record.version;
    let bundle = Bundle { version: BundleVersion(base.0 + 1), base, ..earlier.bundle };
    let mut signatures = BTreeMap::new();
    if let (Some(operator), Some(secret_file)) = (&args.operator, &args.secret_file) {
        signatures.insert(operator.clone(), sign_with(&bundle, secret_file)?);
    }
    send(&client, bundle, signatures, args.output).await
}
