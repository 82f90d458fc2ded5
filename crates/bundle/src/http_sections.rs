//! Sections of the HTTP routing: pools and limits, chunks of routes, and pieces of the
//! operators' text.
//!
//! A change of one route changes one chunk of routes and one or two pieces of the text. Pieces are
//! content-defined chunks (FastCDC), so that an insertion does not move later boundaries.

use std::collections::BTreeMap;

use fastcdc::v2020::FastCDC;
use hooklug_types::{Digest, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::canonical::{DecodeError, decode_section, to_json};
use crate::http::{HttpLimits, HttpRoute, HttpRouting, HttpService};

/// Name of the section of pools and limits, and prefix of the names of all sections of this module.
pub(crate) const HTTP_SECTION: &str = "http";
const ROUTES_PREFIX: &str = "http/routes/";
const TEXT_SECTION: &str = "http/text";
const PIECE_PREFIX: &str = "http/text/";

/// Number of route chunks. With 400 routes, a chunk is about as long as the list of all chunks'
/// digests.
const ROUTE_CHUNKS: u8 = 32;

/// Minimum size of a piece of the operators' text, in bytes.
const MIN_PIECE_BYTES: usize = 1 << 10;
/// Average size of a piece of the operators' text, in bytes.
const AVERAGE_PIECE_BYTES: usize = 4 << 10;
/// Maximum size of a piece of the operators' text, in bytes.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// Number of hexadecimal digits of a piece's digest that form its id.
const PIECE_ID_DIGITS: usize = 16;

/// Content of the [`HTTP_SECTION`]: backend pools and limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pools {
    services: BTreeMap<ServiceName, HttpService>,
    limits: HttpLimits,
}

/// Whether a section belongs to the operators' text, which is needed only to read the bundle back.
#[must_use]
pub fn is_document_section(name: &str) -> bool {
    name == TEXT_SECTION || name.starts_with(PIECE_PREFIX)
}

/// Encodes a bundle's HTTP routing as sections by name.
pub(crate) fn sections(http: &HttpRouting) -> BTreeMap<String, Vec<u8>> {
    let pools = Pools { services: http.services.clone(), limits: http.limits.clone() };
    let mut sections = BTreeMap::from([(HTTP_SECTION.to_owned(), to_json(&pools))]);
    let mut chunks: BTreeMap<u8, BTreeMap<&RouteName, &HttpRoute>> = BTreeMap::new();
    for (name, route) in &http.routes {
        chunks.entry(chunk_of(name)).or_default().insert(name, route);
    }
    sections.extend(chunks.iter().map(|(number, chunk)| (chunk_section(*number), to_json(chunk))));
    let pieces = pieces(&http.document);
    if !pieces.is_empty() {
        let ids: Vec<&String> = pieces.iter().map(|(id, _)| id).collect();
        sections.insert(TEXT_SECTION.to_owned(), to_json(&ids));
    }
    let to_section = |(id, piece): (String, &[u8])| (format!("{PIECE_PREFIX}{id}"), piece.to_vec());
    sections.extend(pieces.into_iter().map(to_section));
    sections
}

/// Number of the chunk that holds a route.
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

/// Splits a text into pieces, in order, with their ids.
fn pieces(text: &str) -> Vec<(String, &[u8])> {
    let bytes = text.as_bytes();
    let cuts = FastCDC::new(bytes, MIN_PIECE_BYTES, AVERAGE_PIECE_BYTES, MAX_PIECE_BYTES);
    let piece = |offset: usize, length: usize| &bytes[offset..offset + length];
    cuts.map(|cut| piece(cut.offset, cut.length)).map(|piece| (piece_id(piece), piece)).collect()
}

fn piece_id(piece: &[u8]) -> String {
    let mut id = Digest::of(piece).to_string();
    id.truncate(PIECE_ID_DIGITS);
    id
}

/// Changed sections of a bundle's HTTP routing. An inner `None` marks a removed section.
#[derive(Debug, Default)]
pub(crate) struct HttpChanges<'a> {
    pools: Option<Option<&'a [u8]>>,
    routes: BTreeMap<u8, Option<&'a [u8]>>,
    text: Option<Option<&'a [u8]>>,
    pieces: BTreeMap<&'a str, &'a [u8]>,
}

impl<'a> HttpChanges<'a> {
    /// Adds one changed section.
    pub(crate) fn add(
        &mut self,
        name: &'a str,
        bytes: Option<&'a [u8]>,
    ) -> Result<(), DecodeError> {
        if name == HTTP_SECTION {
            self.pools = Some(bytes);
        } else if name == TEXT_SECTION {
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

    /// Applies the changed sections to the current HTTP routing.
    pub(crate) fn apply(self, routing: &mut Option<HttpRouting>) -> Result<(), DecodeError> {
        if self.pools == Some(None) {
            *routing = None;
            return Ok(());
        }
        if self.pools.is_none() && self.routes.is_empty() && self.text.is_none() {
            return Ok(());
        }
        let http = routing.get_or_insert_default();
        if let Some(bytes) = self.pools {
            let pools: Pools = decode_section(HTTP_SECTION, bytes)?;
            (http.services, http.limits) = (pools.services, pools.limits);
        }
        for (number, bytes) in self.routes {
            replace_chunk(&mut http.routes, number, bytes)?;
        }
        if let Some(bytes) = self.text {
            let ids: Vec<String> = decode_section(TEXT_SECTION, bytes)?;
            http.document = assemble_text(&ids, &http.document, &self.pieces)?;
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
    let chunk: BTreeMap<RouteName, HttpRoute> = decode_section(&name, bytes)?;
    if chunk.keys().any(|route| chunk_of(route) != number) {
        return Err(DecodeError::NotCanonical(name));
    }
    routes.retain(|route, _| chunk_of(route) != number);
    routes.extend(chunk);
    Ok(())
}

/// Assembles a text from the ids of its pieces, which are either new or part of the previous text.
fn assemble_text(
    ids: &[String],
    previous: &str,
    new: &BTreeMap<&str, &[u8]>,
) -> Result<String, DecodeError> {
    let existing: BTreeMap<String, &[u8]> = pieces(previous).into_iter().collect();
    let mut bytes = Vec::new();
    for id in ids {
        let piece =
            new.get(id.as_str()).or_else(|| existing.get(id)).ok_or_else(|| malformed(id))?;
        if piece_id(piece) != *id {
            return Err(malformed(id));
        }
        bytes.extend_from_slice(piece);
    }
    let text =
        String::from_utf8(bytes).map_err(|_| DecodeError::NotCanonical(TEXT_SECTION.to_owned()))?;
    let same = pieces(&text).iter().map(|(id, _)| id).eq(ids);
    same.then_some(text).ok_or_else(|| DecodeError::NotCanonical(TEXT_SECTION.to_owned()))
}

fn malformed(id: &str) -> DecodeError {
    let reason = "missing, or other bytes than its name says".to_owned();
    DecodeError::Malformed { part: format!("{PIECE_PREFIX}{id}"), reason }
}
