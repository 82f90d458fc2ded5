//! Sections of the plain HTTP routing: pools and limits, routes in chunks, and the operators' text in pieces.
//!
//! A change of one route changes one chunk of routes and a piece or two of the text. The text is cut where its own
//! content says so, so that an insertion moves no later cut.

use std::collections::BTreeMap;

use fastcdc::v2020::FastCDC;
use hooklug_types::{Digest, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::canonical::{DecodeError, section, to_json};
use crate::http::{HttpLimits, HttpRoute, HttpRouting, HttpService};

/// Begin of the names of all sections of this module.
pub(crate) const HTTP: &str = "http";
const ROUTES_PREFIX: &str = "http/routes/";
const TEXT: &str = "http/text";
const PIECE_PREFIX: &str = "http/text/";

/// Chunks of routes (ours): with 400 routes a chunk and the list of all chunks' digests are about equally long.
const ROUTE_CHUNKS: u8 = 32;

/// Bytes of a piece of the operators' text, at least (ours).
const LEAST_PIECE_BYTES: usize = 1 << 10;
/// Bytes of a piece of the operators' text, in the mean (ours).
const MEAN_PIECE_BYTES: usize = 4 << 10;
/// Bytes of a piece of the operators' text, at most (ours).
const MOST_PIECE_BYTES: usize = 16 << 10;

/// Letters of a piece's digest that its name holds.
const PIECE_ID_LETTERS: usize = 16;

/// What is no route and no text.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pools {
    services: BTreeMap<ServiceName, HttpService>,
    limits: HttpLimits,
}

/// Whether a section is a part of the operators' text, which only those need who read the bundle back.
#[must_use]
pub fn is_operators_text(name: &str) -> bool {
    name == TEXT || name.starts_with(PIECE_PREFIX)
}

/// The sections of a bundle's HTTP routing.
pub(crate) fn sections(http: &HttpRouting) -> BTreeMap<String, Vec<u8>> {
    let pools = Pools { services: http.services.clone(), limits: http.limits.clone() };
    let mut sections = BTreeMap::from([(HTTP.to_owned(), to_json(&pools))]);
    let mut chunks: BTreeMap<u8, BTreeMap<&RouteName, &HttpRoute>> = BTreeMap::new();
    for (name, route) in &http.routes {
        chunks.entry(chunk_of(name)).or_default().insert(name, route);
    }
    sections.extend(chunks.iter().map(|(number, chunk)| (chunk_section(*number), to_json(chunk))));
    let pieces = pieces(&http.document);
    if !pieces.is_empty() {
        let ids: Vec<&String> = pieces.iter().map(|(id, _)| id).collect();
        sections.insert(TEXT.to_owned(), to_json(&ids));
    }
    let named = |(id, piece): (String, &[u8])| (format!("{PIECE_PREFIX}{id}"), piece.to_vec());
    sections.extend(pieces.into_iter().map(named));
    sections
}

/// The chunk that holds a route.
fn chunk_of(route: &RouteName) -> u8 {
    Digest::of(route.as_str().as_bytes()).0[0] % ROUTE_CHUNKS
}

fn chunk_section(number: u8) -> String {
    format!("{ROUTES_PREFIX}{number:02x}")
}

fn chunk_number(name: &str) -> Option<u8> {
    let number = u8::from_str_radix(name.strip_prefix(ROUTES_PREFIX)?, 16).ok()?;
    (number < ROUTE_CHUNKS && chunk_section(number) == name).then_some(number)
}

/// The pieces of a text, in order, with their ids.
fn pieces(text: &str) -> Vec<(String, &[u8])> {
    let bytes = text.as_bytes();
    let cuts = FastCDC::new(bytes, LEAST_PIECE_BYTES, MEAN_PIECE_BYTES, MOST_PIECE_BYTES);
    let piece = |offset: usize, length: usize| &bytes[offset..offset + length];
    cuts.map(|cut| piece(cut.offset, cut.length)).map(|piece| (piece_id(piece), piece)).collect()
}

fn piece_id(piece: &[u8]) -> String {
    let mut id = Digest::of(piece).to_string();
    id.truncate(PIECE_ID_LETTERS);
    id
}

/// Changed sections of a bundle's HTTP routing; `None` stands for one that is gone.
#[derive(Debug, Default)]
pub(crate) struct HttpChanges<'a> {
    pools: Option<Option<&'a [u8]>>,
    routes: BTreeMap<u8, Option<&'a [u8]>>,
    text: Option<Option<&'a [u8]>>,
    pieces: BTreeMap<&'a str, &'a [u8]>,
}

impl<'a> HttpChanges<'a> {
    /// Takes one section.
    pub(crate) fn take(
        &mut self,
        name: &'a str,
        bytes: Option<&'a [u8]>,
    ) -> Result<(), DecodeError> {
        if name == HTTP {
            self.pools = Some(bytes);
        } else if name == TEXT {
            self.text = Some(bytes);
        } else if let Some(number) = chunk_number(name) {
            self.routes.insert(number, bytes);
        } else if let Some(id) = name.strip_prefix(PIECE_PREFIX) {
            self.pieces.extend(bytes.map(|bytes| (id, bytes)));
        } else {
            return Err(DecodeError::UnknownSection(name.to_owned()));
        }
        Ok(())
    }

    /// Changes what is held.
    pub(crate) fn apply(self, held: &mut Option<HttpRouting>) -> Result<(), DecodeError> {
        if self.pools == Some(None) {
            *held = None;
            return Ok(());
        }
        if self.pools.is_none() && self.routes.is_empty() && self.text.is_none() {
            return Ok(());
        }
        let http = held.get_or_insert_default();
        if let Some(bytes) = self.pools {
            let pools: Pools = section(HTTP, bytes)?;
            (http.services, http.limits) = (pools.services, pools.limits);
        }
        for (number, bytes) in self.routes {
            replace_chunk(&mut http.routes, number, bytes)?;
        }
        if let Some(bytes) = self.text {
            let ids: Vec<String> = section(TEXT, bytes)?;
            http.document = text(&ids, &http.document, &self.pieces)?;
        }
        Ok(())
    }
}

fn replace_chunk(
    routes: &mut BTreeMap<RouteName, HttpRoute>,
    number: u8,
    bytes: Option<&[u8]>,
) -> Result<(), DecodeError> {
    let name = chunk_section(number);
    let chunk: BTreeMap<RouteName, HttpRoute> = section(&name, bytes)?;
    if chunk.keys().any(|route| chunk_of(route) != number) {
        return Err(DecodeError::NotCanonical(name));
    }
    routes.retain(|route, _| chunk_of(route) != number);
    routes.extend(chunk);
    Ok(())
}

/// Puts a text together from the ids of its pieces, of which some are new and the others those of the text before.
fn text(ids: &[String], before: &str, new: &BTreeMap<&str, &[u8]>) -> Result<String, DecodeError> {
    let held: BTreeMap<String, &[u8]> = pieces(before).into_iter().collect();
    let mut bytes = Vec::new();
    for id in ids {
        let piece = new.get(id.as_str()).or_else(|| held.get(id)).ok_or_else(|| malformed(id))?;
        if piece_id(piece) != *id {
            return Err(malformed(id));
        }
        bytes.extend_from_slice(piece);
    }
    let text = String::from_utf8(bytes).map_err(|_| DecodeError::NotCanonical(TEXT.to_owned()))?;
    let same = pieces(&text).iter().map(|(id, _)| id).eq(ids);
    same.then_some(text).ok_or_else(|| DecodeError::NotCanonical(TEXT.to_owned()))
}

fn malformed(id: &str) -> DecodeError {
    let reason = "missing, or other bytes than its name says".to_owned();
    DecodeError::Malformed { part: format!("{PIECE_PREFIX}{id}"), reason }
}
