//! A valid bundle that the tests modify.

use hooklug_bundle::{Bundle, TextFormat, parse};

pub const VALID: &str = r#"
version = 8
base = 7

[services.advisor]
kind = "model"
model = "advisor-7b"
slots = 40
versions = [{ version = "v1" }, { version = "v2" }]

[services.notices]
kind = "application"
slots = 64
versions = [{ version = "v1" }]

[routes.advice]
match = { session = { model = "advisor-7b" } }
service = "advisor"

[routes.send-alarm]
match = { tool = { tool = "send_alarm" } }
service = "notices"

[windows.frost]
start = 1000
end = 2000
group = "growers"
service = "advisor"
slots = 20

[windows.sowing]
start = 1500
end = 3000
group = "growers"
service = "advisor"
slots = 20

[tenants.serra-verde]
group = "growers"
key_digests = ["0000000000000000000000000000000000000000000000000000000000000000"]
"#;

pub fn valid() -> Bundle {
    parse(VALID, TextFormat::Toml).expect("the test's bundle parses")
}
