//! Whether one value fits its kind.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use figment::value::Value;
use hooklug_types::ZoneName;

use crate::schema::Kind;

const HEX_DIGITS: usize = 64;

pub(crate) fn fits(kind: &Kind, value: &Value) -> bool {
    match kind {
        Kind::Address => address(value).is_some(),
        Kind::Addresses(most) => addresses(value, *most),
        Kind::Name => value.as_str().is_some_and(|text| ZoneName::new(text).is_ok()),
        Kind::Path => value.as_str().is_some_and(|text| !text.is_empty()),
        Kind::Secret(least) => value.as_str().is_some_and(|t| t.chars().count() >= *least),
        Kind::Integer(least, most) => {
            integer(value).is_some_and(|number| (*least..=*most).contains(&number))
        }
        Kind::Number(least, most) => {
            number(value).is_some_and(|number| (*least..=*most).contains(&number))
        }
        Kind::Switch => value.to_bool().is_some(),
        Kind::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
        Kind::Source => value.as_str().is_some_and(source),
        Kind::Digests => value.as_array().is_some_and(|list| list.iter().all(hexadecimal)),
        Kind::PublicKeys => value.as_dict().is_some_and(|table| {
            table.iter().all(|(name, key)| ZoneName::new(name).is_ok() && hexadecimal(key))
        }),
    }
}

/// A value as shown in a fault; a secret's is never shown.
pub(crate) fn show(kind: Option<&Kind>, value: &Value) -> String {
    match kind {
        Some(Kind::Secret(_)) => match value.as_str() {
            Some(text) => format!("a text of {} characters", text.chars().count()),
            None => "no text".to_owned(),
        },
        _ => plain(value),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(_, text) => format!("{text:?}"),
        Value::Char(_, c) => format!("{c:?}"),
        Value::Bool(_, on) => on.to_string(),
        Value::Num(..) => number(value).map_or_else(|| "a number".to_owned(), |n| n.to_string()),
        Value::Empty(..) => "nothing".to_owned(),
        Value::Dict(_, table) => {
            let items: Vec<String> =
                table.iter().map(|(key, value)| format!("{key} = {}", plain(value))).collect();
            format!("{{{}}}", items.join(", "))
        }
        Value::Array(_, list) => {
            let items: Vec<String> = list.iter().map(plain).collect();
            format!("[{}]", items.join(", "))
        }
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    let address: SocketAddr = value.as_str()?.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn addresses(value: &Value, most: usize) -> bool {
    let Some(list) = value.as_array() else { return false };
    let parsed: Option<BTreeSet<SocketAddr>> = list.iter().map(address).collect();
    list.len() <= most && parsed.is_some_and(|different| different.len() == list.len())
}

/// A whole number, whichever way its source wrote it.
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

fn hexadecimal(value: &Value) -> bool {
    let digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    value.as_str().is_some_and(|text| text.len() == HEX_DIGITS && text.chars().all(digit))
}

fn source(text: &str) -> bool {
    match text.strip_prefix("http://") {
        Some(rest) => {
            let host = rest.split('/').next().unwrap_or_default();
            host.parse::<SocketAddr>().is_ok()
        }
        None => !text.is_empty() && !text.contains("://"),
    }
}
