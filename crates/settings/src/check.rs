//! Checks of single values against the kind of their setting.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use figment::value::Value;
use hooklug_types::ZoneName;

use crate::schema::Kind;

const HEX_DIGITS: usize = 64;

/// Whether a value is valid for a kind of setting.
pub(crate) fn is_valid(kind: &Kind, value: &Value) -> bool {
    match kind {
        Kind::Address => address(value).is_some(),
        Kind::Addresses(max) => are_addresses(value, *max),
        Kind::Name => value.as_str().is_some_and(|text| ZoneName::new(text).is_ok()),
        Kind::Path => value.as_str().is_some_and(|text| !text.is_empty()),
        Kind::Secret(min) => value.as_str().is_some_and(|t| t.chars().count() >= *min),
        Kind::Integer(min, max) => {
            integer(value).is_some_and(|number| (*min..=*max).contains(&number))
        }
        Kind::Number(min, max) => {
            number(value).is_some_and(|number| (*min..=*max).contains(&number))
        }
        Kind::Boolean => value.to_bool().is_some(),
        Kind::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
        Kind::Source => value.as_str().is_some_and(is_source),
        Kind::Digests => value.as_array().is_some_and(|list| list.iter().all(is_hexadecimal)),
        Kind::PublicKeys => value.as_dict().is_some_and(|table| {
            table.iter().all(|(name, key)| ZoneName::new(name).is_ok() && is_hexadecimal(key))
        }),
    }
}

/// Formats a value for an error message. A secret is replaced by its length.
pub(crate) fn format_value(kind: Option<&Kind>, value: &Value) -> String {
    match kind {
        Some(Kind::Secret(_)) => match value.as_str() {
            Some(text) => format!("a text of {} characters", text.chars().count()),
            None => "no text".to_owned(),
        },
        _ => format_plain(value),
    }
}

fn format_plain(value: &Value) -> String {
    match value {
        Value::String(_, text) => format!("{text:?}"),
        Value::Char(_, c) => format!("{c:?}"),
        Value::Bool(_, on) => on.to_string(),
        Value::Num(..) => number(value).map_or_else(|| "a number".to_owned(), |n| n.to_string()),
        Value::Empty(..) => "nothing".to_owned(),
        Value::Dict(_, table) => {
            let items: Vec<String> = table
                .iter()
                .map(|(key, value)| format!("{key} = {}", format_plain(value)))
                .collect();
            format!("{{{}}}", items.join(", "))
        }
        Value::Array(_, list) => {
            let items: Vec<String> = list.iter().map(format_plain).collect();
            format!("[{}]", items.join(", "))
        }
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    let address: SocketAddr = value.as_str()?.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn are_addresses(value: &Value, max: usize) -> bool {
    let Some(list) = value.as_array() else { return false };
    let parsed: Option<BTreeSet<SocketAddr>> = list.iter().map(address).collect();
    list.len() <= max && parsed.is_some_and(|distinct| distinct.len() == list.len())
}

/// Converts a value to an unsigned integer, whatever integer type its source used.
pub(crate) fn integer(value: &Value) -> Option<u64> {
    let number = value.to_num()?;
    let signed = number.to_i128();
    signed
        .and_then(|n| u64::try_from(n).ok())
        .or_else(|| number.to_u128().and_then(|n| u64::try_from(n).ok()))
}

fn number(value: &Value) -> Option<f64> {
    let number = value.to_num()?;
    number
        .to_f64()
        .or_else(|| number.to_i128().map(|n| n as f64))
        .or_else(|| number.to_u128().map(|n| n as f64))
}

fn is_hexadecimal(value: &Value) -> bool {
    let digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    value.as_str().is_some_and(|text| text.len() == HEX_DIGITS && text.chars().all(digit))
}

fn is_source(text: &str) -> bool {
    match text.strip_prefix("http://") {
        Some(rest) => {
            let host = rest.split('/').next().unwrap_or_default();
            host.parse::<SocketAddr>().is_ok()
        }
        None => !text.is_empty() && !text.contains("://"),
    }
}
