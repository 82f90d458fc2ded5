//! Loads the settings from their sources and validates them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use figment::providers::{Format, Serialized, Toml};
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use hooklug_types::{NodeRole, ZoneName};
use serde::Serialize;

use crate::check::{format_value, integer, is_valid};
use crate::schema::{SETTINGS, Setting, setting};
use crate::{SettingError, Settings};

/// Prefix of environment variables; `__` separates a section from its key.
pub const VARIABLE_PREFIX: &str = "HOOKLUG_";

/// Settings given as command-line flags; they take precedence over variables and the file.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Overrides {
    /// Value for the setting `rpc`, if given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rpc: Option<SocketAddr>,
    /// Value for the setting `http`, if given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Value for the setting `zone`, if given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneName>,
    /// Value for the setting `seeds`, if given.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// Value for the setting `data_folder`, if given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_folder: Option<PathBuf>,
    /// Value for the setting `enable_faults`, if given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub enable_faults: Option<bool>,
}

/// Environment variables as a source of settings.
struct Variables(Vec<(String, String)>);

impl Provider for Variables {
    fn metadata(&self) -> Metadata {
        Metadata::named(format!("{VARIABLE_PREFIX}* variables"))
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let mut settings = Dict::new();
        for (name, text) in &self.0 {
            let Some(key) = name.strip_prefix(VARIABLE_PREFIX) else { continue };
            let key = key.to_ascii_lowercase().replace("__", ".");
            // A text that is not another kind of value parses as a string.
            let Ok(value) = text.parse::<Value>();
            insert(&mut settings, &key, value);
        }
        Ok(Profile::Default.collect(settings))
    }
}

/// Inserts a value under a dotted key.
fn insert(table: &mut Dict, key: &str, value: Value) {
    let Some((section, rest)) = key.split_once('.') else {
        table.insert(key.to_owned(), value);
        return;
    };
    let inner = table.entry(section.to_owned()).or_insert_with(|| Value::from(Dict::new()));
    if let Value::Dict(_, inner) = inner {
        insert(inner, rest, value);
    }
}

/// Command-line flags as a source of settings.
struct Flags<'a>(&'a Overrides);

impl Provider for Flags<'_> {
    fn metadata(&self) -> Metadata {
        Metadata::named("flags")
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        Serialized::globals(self.0).data()
    }
}

impl Settings {
    /// Loads the file, the `HOOKLUG_*` variables and the flags, in rising precedence, and validates
    /// the result for a role.
    ///
    /// # Errors
    /// All invalid and missing settings at once.
    pub fn load(
        file: Option<&Path>,
        environment: impl IntoIterator<Item = (String, String)>,
        overrides: &Overrides,
        role: NodeRole,
    ) -> Result<Self, Vec<SettingError>> {
        let mut figment = Figment::new();
        if let Some(path) = file {
            if !path.is_file() {
                return Err(vec![missing_file(path)]);
            }
            figment = figment.merge(Toml::file_exact(path));
        }
        figment =
            figment.merge(Variables(environment.into_iter().collect())).merge(Flags(overrides));
        read(&figment, role)
    }
}

fn missing_file(path: &Path) -> SettingError {
    SettingError {
        key: "--settings".to_owned(),
        found: path.display().to_string(),
        allowed: "a readable file".to_owned(),
        origin: String::new(),
    }
}

fn read(figment: &Figment, role: NodeRole) -> Result<Settings, Vec<SettingError>> {
    let settings: Dict = figment.extract().map_err(|e| extraction_errors(&e))?;
    let found = flatten(&settings);
    let mut errors = Vec::new();
    for (key, value) in &found {
        check_value(figment, key, value, &mut errors);
    }
    check_missing(&settings, &found, role, &mut errors);
    check_combinations(&found, &mut errors);
    if !errors.is_empty() {
        return Err(errors);
    }
    figment.extract().map_err(|e| extraction_errors(&e))
}

fn extraction_errors(error: &figment::Error) -> Vec<SettingError> {
    let errors = error.clone().into_iter().map(|e| SettingError {
        key: if e.path.is_empty() { "(file)".to_owned() } else { e.path.join(".") },
        found: e.kind.to_string().trim_end().to_owned(),
        allowed: "TOML as in docs/OPERATIONS.md".to_owned(),
        origin: e.metadata.as_ref().map(origin).unwrap_or_default(),
    });
    errors.collect()
}

/// Maps dotted keys to values. A table that is itself the value of a setting is not flattened.
fn flatten(settings: &Dict) -> BTreeMap<String, Value> {
    let mut found = BTreeMap::new();
    for (key, value) in settings {
        match value {
            Value::Dict(_, section) if setting(key).is_none() => {
                let inner = section.iter().map(|(k, v)| (format!("{key}.{k}"), v.clone()));
                found.extend(inner);
            }
            _ => drop(found.insert(key.clone(), value.clone())),
        }
    }
    found
}

fn origin(metadata: &Metadata) -> String {
    match &metadata.source {
        Some(source) => format!("{} {source}", metadata.name),
        None => metadata.name.to_string(),
    }
}

fn check_value(figment: &Figment, key: &str, value: &Value, errors: &mut Vec<SettingError>) {
    let known = setting(key);
    let allowed = match known {
        Some(known) if is_valid(&known.kind, value) => return,
        Some(known) => known.kind.allowed(),
        None => format!("no setting of this name; known are {}", related_keys(key)),
    };
    let origin = figment.find_metadata(key).map(origin).unwrap_or_default();
    let found = format_value(known.map(|k| &k.kind), value);
    errors.push(SettingError { key: key.to_owned(), found, allowed, origin });
}

/// Lists the known keys in the section of an unknown key, or all keys if there is no such section.
fn related_keys(key: &str) -> String {
    let section = key.split_once('.').map(|(section, _)| section);
    let same_section = |s: &&Setting| s.key.split_once('.').map(|(section, _)| section) == section;
    let mut keys: Vec<&str> = SETTINGS.iter().filter(same_section).map(|s| s.key).collect();
    if keys.is_empty() {
        keys = SETTINGS.iter().map(|s| s.key).collect();
    }
    keys.join(", ")
}

fn check_missing(
    settings: &Dict,
    found: &BTreeMap<String, Value>,
    role: NodeRole,
    errors: &mut Vec<SettingError>,
) {
    let has_engine = role == NodeRole::Engine || settings.contains_key("engine");
    let is_required = |s: &&Setting| match s.key {
        "data_folder" => role == NodeRole::Store,
        key if key.starts_with("engine.") => s.required && has_engine,
        _ => s.required,
    };
    for missing in SETTINGS.iter().filter(is_required).filter(|s| !found.contains_key(s.key)) {
        errors.push(SettingError {
            key: missing.key.to_owned(),
            found: "nothing".to_owned(),
            allowed: format!("{} (required for role {role})", missing.kind.allowed()),
            origin: String::new(),
        });
    }
}

fn check_combinations(found: &BTreeMap<String, Value>, errors: &mut Vec<SettingError>) {
    let text = |key: &str| found.get(key).and_then(|v| v.as_str());
    if let (Some(rpc), Some(http)) = (text("rpc"), text("http"))
        && rpc == http
    {
        errors.push(SettingError {
            key: "http".to_owned(),
            found: format!("{http:?}"),
            allowed: "an address that differs from rpc".to_owned(),
            origin: String::new(),
        });
    }
    let keys = found.get("operators.keys").and_then(Value::as_dict).map_or(0, Dict::len);
    let required = found.get("operators.required_signatures").and_then(integer);
    if let Some(required) = required.filter(|r| usize::try_from(*r).is_ok_and(|r| r > keys)) {
        errors.push(SettingError {
            key: "operators.required_signatures".to_owned(),
            found: required.to_string(),
            allowed: format!("at most the number of keys in operators.keys, {keys}"),
            origin: String::new(),
        });
    }
}
