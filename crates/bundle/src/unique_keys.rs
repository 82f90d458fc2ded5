//! Refuses JSON objects that name a key twice: a map would keep the last value and drop the others
//! without a word (ours).

use std::collections::BTreeSet;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

use crate::ParseError;

/// Checks that no object of a JSON text names a key twice.
///
/// # Errors
/// The first such key, with its path; or the first fault of the text.
pub fn check_unique_keys(json: &[u8]) -> Result<(), ParseError> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut reader, &mut track);
    let checked = Checked { is_repeated: false }.deserialize(tracked);
    checked.map_err(|e| ParseError { path: track.path().to_string(), message: e.to_string() })
}

/// A value, and whether its key stood in the same object before.
#[derive(Clone, Copy)]
struct Checked {
    is_repeated: bool,
}

impl<'de> DeserializeSeed<'de> for Checked {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<(), D::Error> {
        if self.is_repeated {
            return Err(D::Error::custom("the key is given twice"));
        }
        reader.deserialize_any(Walk)
    }
}

struct Walk;

impl<'de> Visitor<'de> for Walk {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut keys = BTreeSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let is_repeated = !keys.insert(key);
            map.next_value_seed(Checked { is_repeated })?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while list.next_element_seed(Checked { is_repeated: false })?.is_some() {}
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
