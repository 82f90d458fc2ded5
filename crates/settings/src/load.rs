//! Reads the settings from their sources and checks them as a whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use figment::providers::{Format, Serialized, Toml};
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use hooklug_types::{NodeRole, ZoneName};
use serde::Serialize;

use crate::check::{fits, integer, show};
use crate::schema::{SETTINGS, Setting, setting};
use crate::{SettingFault, Settings};

/// Prefix of variables; `__` separates a section from its key.
pub const VARIABLE_PREFIX: &str = "HOOKLUG_";

/// Settings given as flags; they win over variables and file.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Overrides {
    /// `rpc`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rpc: Option<SocketAddr>,
    /// `http`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// `zone`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneName>,
    /// `seeds`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// `data_folder`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_folder: Option<PathBuf>,
    /// `enable_faults`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub enable_faults: Option<bool>,
}

/// Variables of the environment, as a source of settings.
struct Variables(Vec<(String, String)>);

impl Provider for Variables {
    fn metadata(&self) -> Metadata {
        Metadata::named(format!("{VARIABLE_PREFIX}* variables"))
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let mut whole = Dict::new();
        for (name, text) in &self.0 {
            let Some(key) = name.strip_prefix(VARIABLE_PREFIX) else { continue };
            let key = key.to_ascii_lowercase().replace("__", ".");
            // Texts that are no other value are taken as they are.
            let Ok(value) = text.parse::<Value>();
            insert(&mut whole, &key, value);
        }
        Ok(Profile::Default.collect(whole))
    }
}

/// Puts a value under a dotted key.
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

/// Flags, as a source of settings.
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
    /// Reads a file, then `HOOKLUG_*` variables, then flags, in rising precedence, and checks all for a role.
    ///
    /// # Errors
    /// Every fault at once.
    pub fn load(
        file: Option<&Path>,
        environment: impl IntoIterator<Item = (String, String)>,
        overrides: &Overrides,
        role: NodeRole,
    ) -> Result<Self, Vec<SettingFault>> {
        let mut figment = Figment::new();
        if let Some(path) = file {
            if !path.is_file() {
                return Err(vec![no_file(path)]);
            }
            figment = figment.merge(Toml::file_exact(path));
        }
        figment =
            figment.merge(Variables(environment.into_iter().collect())).merge(Flags(overrides));
        read(&figment, role)
    }
}

fn no_file(path: &Path) -> SettingFault {
    SettingFault {
        key: "--settings".to_owned(),
        found: path.display().to_string(),
        allowed: "a file that can be read".to_owned(),
        origin: String::new(),
    }
}

fn read(figment: &Figment, role: NodeRole) -> Result<Settings, Vec<SettingFault>> {
    let whole: Dict = figment.extract().map_err(|e| unreadable(&e))?;
    let found = flatten(&whole);
    let mut faults = Vec::new();
    for (key, value) in &found {
        check_value(figment, key, value, &mut faults);
    }
    check_missing(&whole, &found, role, &mut faults);
    check_together(&found, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    figment.extract().map_err(|e| unreadable(&e))
}

fn unreadable(error: &figment::Error) -> Vec<SettingFault> {
    let faults = error.clone().into_iter().map(|e| SettingFault {
        key: if e.path.is_empty() { "(whole)".to_owned() } else { e.path.join(".") },
        found: e.kind.to_string().trim_end().to_owned(),
        allowed: "TOML as in docs/OPERATIONS.md".to_owned(),
        origin: e.metadata.as_ref().map(origin).unwrap_or_default(),
    });
    faults.collect()
}

/// Values by dotted key; tables that are settings themselves stay whole.
fn flatten(whole: &Dict) -> BTreeMap<String, Value> {
    let mut found = BTreeMap::new();
    for (key, value) in whole {
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

fn check_value(figment: &Figment, key: &str, value: &Value, faults: &mut Vec<SettingFault>) {
    let known = setting(key);
    let allowed = match known {
        Some(known) if fits(&known.kind, value) => return,
        Some(known) => known.kind.allowed(),
        None => format!("no setting of this name; known are {}", neighbours(key)),
    };
    let origin = figment.find_metadata(key).map(origin).unwrap_or_default();
    let found = show(known.map(|k| &k.kind), value);
    faults.push(SettingFault { key: key.to_owned(), found, allowed, origin });
}

/// Known keys beside an unknown one, in the same section where there is such a section.
fn neighbours(key: &str) -> String {
    let section = key.split_once('.').map(|(section, _)| section);
    let beside = |s: &&Setting| s.key.split_once('.').map(|(section, _)| section) == section;
    let mut keys: Vec<&str> = SETTINGS.iter().filter(beside).map(|s| s.key).collect();
    if keys.is_empty() {
        keys = SETTINGS.iter().map(|s| s.key).collect();
    }
    keys.join(", ")
}

fn check_missing(
    whole: &Dict,
    found: &BTreeMap<String, Value>,
    role: NodeRole,
    faults: &mut Vec<SettingFault>,
) {
    let engine = role == NodeRole::Engine || whole.contains_key("engine");
    let needed = |s: &&Setting| match s.key {
        "data_folder" => role == NodeRole::Store,
        key if key.starts_with("engine.") => s.required && engine,
        _ => s.required,
    };
    for missing in SETTINGS.iter().filter(needed).filter(|s| !found.contains_key(s.key)) {
        faults.push(SettingFault {
            key: missing.key.to_owned(),
            found: "nothing".to_owned(),
            allowed: format!("{} (required for role {role})", missing.kind.allowed()),
            origin: String::new(),
        });
    }
}

fn check_together(found: &BTreeMap<String, Value>, faults: &mut Vec<SettingFault>) {
    let text = |key: &str| found.get(key).and_then(|v| v.as_str());
    if let (Some(rpc), Some(http)) = (text("rpc"), text("http"))
        && rpc == http
    {
        faults.push(SettingFault {
            key: "http".to_owned(),
            found: format!("{http:?}"),
            allowed: "an address other than rpc's".to_owned(),
            origin: String::new(),
        });
    }
    let keys = found.get("operators.keys").and_then(Value::as_dict).map_or(0, Dict::len);
    let required = found.get("operators.required_signatures").and_then(integer);
    if let Some(required) = required.filter(|r| usize::try_from(*r).is_ok_and(|r| r > keys)) {
        faults.push(SettingFault {
            key: "operators.required_signatures".to_owned(),
            found: required.to_string(),
            allowed: format!("at most the number of operators.keys, {keys}"),
            origin: String::new(),
        });
    }
}
