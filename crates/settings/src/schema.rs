//! Table of all settings: kind, unit, default and origin of each key. The loader validates against
//! it, and a test checks that the operations page lists every row.

/// Kind of a setting: the values that it accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// An `ip:port` that other processes can reach.
    Address,
    /// A list of different addresses, up to a maximum number.
    Addresses(usize),
    /// An identifier.
    Name,
    /// A file system path.
    Path,
    /// A secret text with a minimum number of characters; never shown.
    Secret(usize),
    /// An integer between a minimum and a maximum.
    Integer(u64, u64),
    /// A number between a minimum and a maximum.
    Number(f64, f64),
    /// `true` or `false`.
    Boolean,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
    /// Location of the platform's list of engines: `http://ip:port/path` or a file path.
    Source,
    /// A list of BLAKE3 digests in hexadecimal.
    Digests,
    /// A table of public keys in hexadecimal, by operator.
    PublicKeys,
}

/// Description of one setting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Dotted key, as in the settings file.
    pub key: &'static str,
    /// Kind of value that the setting accepts.
    pub kind: Kind,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Default, as written in the settings file; `None` if there is none.
    pub default: Option<&'static str>,
    /// Whether the setting is required (inside `[engine]`: if the section is present or required).
    pub required: bool,
    /// Origin of the default, as shown on the operations page: `brief` (the requirements) or `ours`
    /// (this project).
    pub origin: &'static str,
    /// Purpose of the setting, as shown on the operations page.
    pub description: &'static str,
}

const fn required(key: &'static str, kind: Kind, description: &'static str) -> Setting {
    Setting { key, kind, unit: "", default: None, required: true, origin: "brief", description }
}

const fn optional(
    key: &'static str,
    kind: Kind,
    (unit, default): (&'static str, Option<&'static str>),
    description: &'static str,
) -> Setting {
    Setting { key, kind, unit, default, required: false, origin: "ours", description }
}

/// Minimum length of the cluster secret, in characters.
pub const MIN_SECRET_CHARACTERS: usize = 16;

/// Maximum number of seeds (requirement: three seed addresses).
pub const MAX_SEEDS: usize = 3;

/// Maximum of all settings that are a time in milliseconds: one week.
const WEEK_MS: u64 = 604_800_000;

/// All settings, in the order of the settings file.
pub const SETTINGS: &[Setting] = &[
    required("rpc", Kind::Address, "address for other processes"),
    required("http", Kind::Address, "address for callers, operators, readiness and metrics"),
    required("zone", Kind::Name, "zone of this machine"),
    optional("region", Kind::Name, ("", Some("\"local\"")), "region of the zone"),
    optional(
        "seeds",
        Kind::Addresses(MAX_SEEDS),
        ("", Some("[]")),
        "rpc addresses of other processes, of any role",
    ),
    optional("data_folder", Kind::Path, ("", None), "folder for all files; required for stores"),
    required(
        "cluster_secret",
        Kind::Secret(MIN_SECRET_CHARACTERS),
        "secret that all processes of the cluster share",
    ),
    optional(
        "grace_ms",
        Kind::Integer(100, WEEK_MS),
        ("ms", Some("10000")),
        "time the platform leaves between stop and kill",
    ),
    optional(
        "enable_faults",
        Kind::Boolean,
        ("", Some("false")),
        "opens the switches of failure tests",
    ),
    optional(
        "store.expect_stores",
        Kind::Integer(1, 64),
        ("stores", Some("3")),
        "empty stores that must see each other before they form a cluster",
    ),
    optional(
        "store.may_form",
        Kind::Boolean,
        ("", Some("true")),
        "whether an empty store may form a cluster; if not, it only joins one",
    ),
    optional("store.name", Kind::Name, ("", None), "name that operators know the machine by"),
    optional(
        "store.voters",
        Kind::Integer(1, 9),
        ("voters", Some("3")),
        "voters of each group; 2f + 1 bear the loss of f stores at once",
    ),
    optional("store.tick_ms", Kind::Integer(5, 10_000), ("ms", Some("50")), "one Raft tick"),
    optional(
        "store.election_ticks",
        Kind::Integer(3, 1_000),
        ("ticks", Some("10")),
        "ticks without a leader before an election, drawn from one to two times this",
    ),
    optional(
        "store.snapshot_commands",
        Kind::Integer(16, 100_000_000),
        ("commands", Some("20000")),
        "commands of a group after which its log is compacted into a snapshot",
    ),
    optional(
        "store.end_when_failed",
        Kind::Boolean,
        ("", Some("false")),
        "whether the process ends when its disk has failed, to be started again",
    ),
    optional(
        "store.log_megabytes",
        Kind::Integer(8, 1 << 20),
        ("MiB", Some("256")),
        "length of the log on the disk at which the groups that hold its oldest part are compacted",
    ),
    optional(
        "store.keep_seconds",
        Kind::Integer(1, 31_536_000),
        ("s", Some("86400")),
        "how long finished turns, calls and forgotten programs are kept",
    ),
    required("engine.id", Kind::Name, "engine's name, as the platform lists it"),
    required("engine.service", Kind::Name, "service that it serves"),
    required("engine.version", Kind::Name, "version that it runs"),
    required("engine.model_server", Kind::Address, "address of its model server"),
    optional(
        "engine.slots",
        Kind::Integer(1, 100_000),
        ("turns", Some("16")),
        "turns that it runs at once",
    ),
    optional(
        "engine.drain_bound_ms",
        Kind::Integer(0, WEEK_MS),
        ("ms", Some("900000")),
        "longest drain before sessions move between turns",
    ),
    optional(
        "engine.unconnected_keep_ms",
        Kind::Integer(0, WEEK_MS),
        ("ms", Some("600000")),
        "how long a session without clients is kept open",
    ),
    optional(
        "gateway.body_bytes",
        Kind::Integer(1_024, 1 << 30),
        ("bytes", Some("1048576")),
        "longest request body",
    ),
    optional(
        "gateway.retry_share",
        Kind::Number(0.0, 1.0),
        ("share", Some("0.2")),
        "share of live traffic that may be retried",
    ),
    optional(
        "gateway.mode",
        Kind::Choice(&["full", "plain"]),
        ("", Some("\"full\"")),
        "`plain` is a baseline for measurements: round robin, no limits, blind retries",
    ),
    optional(
        "core.platform_list",
        Kind::Source,
        ("", None),
        "the platform's list of engines; none: no application engines",
    ),
    optional(
        "core.version_ready_seconds",
        Kind::Integer(1, 86_400),
        ("s", Some("300")),
        "time without a ready engine of a newest version, while an older one has some, until it is rolled back",
    ),
    optional(
        "core.rollout_exposure_share",
        Kind::Number(0.0, 1.0),
        ("share", Some("0.1")),
        "share of a service's requests that may reach the target of a rollout before it is due",
    ),
    optional(
        "core.rollout_exposure_requests",
        Kind::Integer(0, 1_000_000),
        ("requests", Some("50")),
        "requests that may reach it beyond that share",
    ),
    optional("operators.keys", Kind::PublicKeys, ("", Some("{}")), "operators' public keys"),
    optional(
        "operators.required_signatures",
        Kind::Integer(0, 64),
        ("signatures", Some("0")),
        "signatures by different operators that a bundle needs",
    ),
    optional(
        "operators.admin_key_digests",
        Kind::Digests,
        ("", Some("[]")),
        "digests of keys that open the operators' API; empty leaves it open on loopback only",
    ),
];

impl Kind {
    /// Describes the allowed values, for error messages and the operations page.
    #[must_use]
    pub fn allowed(&self) -> String {
        match self {
            Self::Address => "an ip:port that others can reach".to_owned(),
            Self::Addresses(max) => format!("at most {max} different ip:port"),
            Self::Name => "1 to 96 letters, digits, '.', '_', '-' or ':'".to_owned(),
            Self::Path => "a path".to_owned(),
            Self::Secret(min) => format!("a text of at least {min} characters"),
            Self::Integer(min, max) => format!("a whole number from {min} to {max}"),
            Self::Number(min, max) => format!("a number from {min} to {max}"),
            Self::Boolean => "true or false".to_owned(),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Source => "http://ip:port/path or a file's path".to_owned(),
            Self::Digests => "a list of 64 lower-case hexadecimal digits each".to_owned(),
            Self::PublicKeys => {
                "a table of operator = \"64 lower-case hexadecimal digits\"".to_owned()
            }
        }
    }
}

/// Looks up the description of a setting by its key.
#[must_use]
pub fn setting(key: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|s| s.key == key)
}
