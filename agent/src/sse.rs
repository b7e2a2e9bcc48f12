//! A decoder for server-sent events.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Buffers bytes and returns the data of complete events.
#[derive(Debug, Default)]
pub(crate) struct EventDecoder {
    buffer: BytesMut,
}

impl EventDecoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event.
    ///
    /// An incomplete event stays in the buffer, as a partial event must not reach a
    /// caller as if it were a token.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
            let event = self.buffer.split_to(end).freeze();
            self.buffer.advance(2);
            if let Some(data) = event_data(&event) {
                return Some(data);
            }
        }
    }
}

fn event_data(event: &Bytes) -> Option<Bytes> {
    let line = event
        .split(|&b| b == b'\n')
        .find(|l| l.starts_with(b"data:"))?;
    let data = line["data:".len()..].trim_ascii();
    Some(event.slice_ref(data))
}
