//! Incremental parser of `text/event-stream`, limited to lines, `data` fields and blank lines.

use bytes::{Bytes, BytesMut};

/// Name of the field that carries an event's data.
const DATA_FIELD: &[u8] = b"data";

/// One event's data: the values of its `data` lines, joined by line feeds.
pub type EventData = Bytes;

/// Parses events from chunks of any length.
#[derive(Debug, Default)]
pub struct EventReader {
    line: BytesMut,
    data: BytesMut,
    has_data: bool,
    /// Whether the last byte was a carriage return; a line feed that follows belongs to the same line
    /// end.
    after_cr: bool,
}

impl EventReader {
    /// Parses a chunk and returns the data of each event that it completes.
    pub fn read(&mut self, chunk: &[u8]) -> Vec<EventData> {
        let mut events = Vec::new();
        for byte in chunk {
            let ends_crlf = *byte == b'\n' && self.after_cr;
            self.after_cr = *byte == b'\r';
            match byte {
                b'\n' if ends_crlf => {}
                b'\n' | b'\r' => events.extend(self.end_line()),
                _ => self.line.extend_from_slice(&[*byte]),
            }
        }
        events
    }

    fn end_line(&mut self) -> Option<EventData> {
        let line = self.line.split();
        if line.is_empty() {
            let data = self.data.split().freeze();
            return std::mem::take(&mut self.has_data).then_some(data);
        }
        let (field, value) = match line.iter().position(|byte| *byte == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (&line[..], &[][..]),
        };
        if field == DATA_FIELD {
            if self.has_data {
                self.data.extend_from_slice(b"\n");
            }
            self.data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
            self.has_data = true;
        }
        None
    }
}
