//! Cuts a stream of bytes into events. Only what is needed of `text/event-stream`: lines, `data` fields, blank lines.

use bytes::{Bytes, BytesMut};

/// Field that carries an event's data.
const DATA_FIELD: &[u8] = b"data";

/// One event's data: the values of its `data` lines, joined by line feeds.
pub type EventData = Bytes;

/// Reads events out of pieces of any length.
#[derive(Debug, Default)]
pub struct EventReader {
    line: BytesMut,
    data: BytesMut,
    has_data: bool,
    /// Whether the last byte was a carriage return, whose line feed belongs to it.
    after_return: bool,
}

impl EventReader {
    /// Takes a piece; gives the data of each event that it completes.
    pub fn read(&mut self, piece: &[u8]) -> Vec<EventData> {
        let mut events = Vec::new();
        for byte in piece {
            let completes_return = *byte == b'\n' && self.after_return;
            self.after_return = *byte == b'\r';
            match byte {
                b'\n' if completes_return => {}
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
