//! Checks that the operations page lists every setting as in the schema table.

use std::path::Path;

use hooklug_settings::schema::{SETTINGS, Setting};

fn row(setting: &Setting) -> String {
    let default = match (setting.default, setting.required) {
        (Some(default), _) => format!("`{default}`"),
        (None, true) => "required".to_owned(),
        (None, false) => "none".to_owned(),
    };
    let unit = if setting.unit.is_empty() { "-" } else { setting.unit };
    format!(
        "| `{}` | {} | {unit} | {default} | {} | {} |",
        setting.key,
        setting.kind.allowed(),
        setting.origin,
        setting.description
    )
}

#[test]
fn every_setting_is_documented_in_operations_md() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).expect("the page is in the repository");
    let missing: Vec<String> =
        SETTINGS.iter().map(row).filter(|row| !page.contains(row.as_str())).collect();
    assert!(missing.is_empty(), "missing on the page:\n{}", missing.join("\n"));
}
