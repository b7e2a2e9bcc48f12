//! Events of a streamed answer, cut out of its bytes.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Collects bytes and gives back the data of whole events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    rest: BytesMut,
}

impl Events {
    pub(crate) fn push(&mut self, piece: &[u8]) {
        self.rest.extend_from_slice(piece);
    }

    /// Returns the data of the next whole event.
    ///
    /// An event that its sender broke off stays inside: half an event must not
    /// reach a caller as if it were a token.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        loop {
            let end = self.rest.windows(2).position(|w| w == b"\n\n")?;
            let event = self.rest.split_to(end).freeze();
            self.rest.advance(2);
            if let Some(data) = data_of(&event) {
                return Some(data);
            }
        }
    }
}

fn data_of(event: &Bytes) -> Option<Bytes> {
    let line = event
        .split(|&b| b == b'\n')
        .find(|l| l.starts_with(b"data:"))?;
    let data = line["data:".len()..].trim_ascii();
    Some(event.slice_ref(data))
}
