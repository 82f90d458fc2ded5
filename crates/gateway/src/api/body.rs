//! Strict parsing of request bodies and path identifiers; each error has a code and a field.

use std::fmt;
use std::str::FromStr;

use axum::body::Body;
use axum::extract::RawPathParams;
use http::{HeaderMap, header};
use serde::de::{DeserializeOwned, Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};

use super::problem::{Code, Problem};

/// A JSON object without duplicate fields.
struct StrictObject(Map<String, Value>);

impl<'de> Deserialize<'de> for StrictObject {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor)
    }
}

struct ObjectVisitor;

impl<'de> Visitor<'de> for ObjectVisitor {
    type Value = StrictObject;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<StrictObject, A::Error> {
        let mut fields = Map::new();
        while let Some((name, value)) = access.next_entry::<String, Value>()? {
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format!("field {name:?} is duplicated")));
            }
            fields.insert(name, value);
        }
        Ok(StrictObject(fields))
    }
}

/// The fields of a request body, removed one by one as they are parsed.
#[derive(Debug)]
pub struct Fields(Map<String, Value>);

impl Fields {
    /// Reads and parses a body up to a limit in bytes.
    ///
    /// # Errors
    /// `bad_content_type`, `body_too_large` or `bad_json`.
    pub async fn read(headers: &HeaderMap, body: Body, limit: usize) -> Result<Self, Problem> {
        check_content_type(headers)?;
        let too_large = || Problem::new(Code::BodyTooLarge, format!("the limit is {limit} bytes"));
        if declared_length(headers).is_some_and(|length| length > limit as u64) {
            return Err(too_large());
        }
        let read = axum::body::to_bytes(body, limit.saturating_add(1)).await;
        let bytes = match read {
            Ok(bytes) if bytes.len() > limit => return Err(too_large()),
            Ok(bytes) => bytes,
            Err(error) if is_length_limit(&error) => return Err(too_large()),
            Err(error) => {
                return Err(Problem::new(Code::BadJson, format!("cannot read the body: {error}")));
            }
        };
        Self::parse(&bytes)
    }

    /// Parses a complete body.
    ///
    /// # Errors
    /// `bad_json`.
    pub fn parse(bytes: &[u8]) -> Result<Self, Problem> {
        let parsed: Result<StrictObject, _> = serde_json::from_slice(bytes);
        parsed
            .map(|object| Self(object.0))
            .map_err(|error| Problem::new(Code::BadJson, error.to_string()))
    }

    /// Removes and returns a required field.
    ///
    /// # Errors
    /// `bad_field` when it is missing or of another type.
    pub fn required<T: DeserializeOwned>(&mut self, name: &str) -> Result<T, Problem> {
        self.optional(name)?.ok_or_else(|| Problem::field(Code::BadField, name, "is missing"))
    }

    /// Removes and returns a field that may be absent or `null`.
    ///
    /// # Errors
    /// `bad_field` when it is of another type.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Result<Option<T>, Problem> {
        let Some(value) = self.0.remove(name).filter(|value| !value.is_null()) else {
            return Ok(None);
        };
        serde_json::from_value(value)
            .map(Some)
            .map_err(|error| Problem::field(Code::BadField, name, error.to_string()))
    }

    /// Removes and returns a required field that may hold any JSON value.
    ///
    /// # Errors
    /// `bad_field` when it is missing.
    pub fn required_value(&mut self, name: &str) -> Result<Value, Problem> {
        self.0.remove(name).ok_or_else(|| Problem::field(Code::BadField, name, "is missing"))
    }

    /// Removes and returns a required identifier.
    ///
    /// # Errors
    /// `bad_field` or `bad_id`.
    pub fn id<T: FromStr<Err: fmt::Display>>(&mut self, name: &str) -> Result<T, Problem> {
        let text: String = self.required(name)?;
        parse_id(name, &text)
    }

    /// Removes and returns an identifier that may be absent or `null`.
    ///
    /// # Errors
    /// `bad_field` or `bad_id`.
    pub fn optional_id<T: FromStr<Err: fmt::Display>>(
        &mut self,
        name: &str,
    ) -> Result<Option<T>, Problem> {
        let text: Option<String> = self.optional(name)?;
        text.map(|text| parse_id(name, &text)).transpose()
    }

    /// Rejects the remaining fields.
    ///
    /// # Errors
    /// `unknown_field`.
    pub fn deny_unknown(self) -> Result<(), Problem> {
        match self.0.keys().next() {
            Some(name) => {
                Err(Problem::field(Code::UnknownField, name, "is not a field of this request"))
            }
            None => Ok(()),
        }
    }
}

/// Parses an identifier of the path.
///
/// # Errors
/// `bad_id` with the path parameter's full name.
pub fn path_id<T: FromStr<Err: fmt::Display>>(
    params: &RawPathParams,
    name: &str,
) -> Result<T, Problem> {
    let text = params.iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    parse_id(name, text)
}

fn parse_id<T: FromStr<Err: fmt::Display>>(name: &str, text: &str) -> Result<T, Problem> {
    text.parse().map_err(|error: T::Err| Problem::field(Code::BadId, name, error.to_string()))
}

fn check_content_type(headers: &HeaderMap) -> Result<(), Problem> {
    let found = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = found.and_then(|text| text.split(';').next()).map(str::trim);
    match media_type {
        Some(text) if text.eq_ignore_ascii_case("application/json") => Ok(()),
        _ => Err(Problem::field(
            Code::BadContentType,
            "content-type",
            format!("found {:?}", found.unwrap_or("none")),
        )),
    }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn is_length_limit(error: &axum::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if cause.is::<http_body_util::LengthLimitError>() {
            return true;
        }
        source = cause.source();
    }
    false
}
