//! Rejects JSON objects with duplicate keys. Deserializing them into a map would silently keep only
//! the last value.

use std::collections::BTreeSet;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

use crate::ParseError;

/// Checks that no object of a JSON text has duplicate keys.
///
/// # Errors
/// The first duplicate key with its path, or the first syntax error.
pub fn check_unique_keys(json: &[u8]) -> Result<(), ParseError> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut reader, &mut track);
    let result = CheckedValue { is_duplicate: false }.deserialize(tracked);
    result.map_err(|e| ParseError { path: track.path().to_string(), message: e.to_string() })
}

/// Seed for a value; fails if its key is a duplicate within the object.
#[derive(Clone, Copy)]
struct CheckedValue {
    is_duplicate: bool,
}

impl<'de> DeserializeSeed<'de> for CheckedValue {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<(), D::Error> {
        if self.is_duplicate {
            return Err(D::Error::custom("the key is a duplicate"));
        }
        reader.deserialize_any(ValueVisitor)
    }
}

/// Visits a value and, recursively, all values inside it.
struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut keys = BTreeSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let is_duplicate = !keys.insert(key);
            map.next_value_seed(CheckedValue { is_duplicate })?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while list.next_element_seed(CheckedValue { is_duplicate: false })?.is_some() {}
        Ok(())
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}
