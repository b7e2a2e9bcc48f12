//! Length-delimited frames of encoded messages.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Frame;
use crate::frame::Body;

/// The largest frame that is sent or accepted, in bytes.
///
/// A body of a caller may have 1 MiB; the rest leaves room for the fields
/// around it.
pub const FRAME_MAX: usize = (1 << 20) + (64 << 10);

/// The reason why a frame can't be read or written.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum FrameError {
    /// The connection failed, or the frame is larger than [`FRAME_MAX`].
    #[display("the connection failed: {_0}; the peer is asked again on a new one")]
    Io(io::Error),
    /// The bytes are no message of this protocol.
    #[display("the peer sent no known message: {_0}; check that both run the same release")]
    Decode(prost::DecodeError),
    /// The frame has no body that this release knows.
    #[display("the peer sent an empty frame; check that both run the same release")]
    Empty,
}

impl FrameError {
    /// Tells whether the connection itself failed.
    #[must_use]
    pub const fn is_io(&self) -> bool {
        matches!(self, Self::Io(_))
    }
}

/// Reads and writes [`Frame`] bodies.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX)
            .new_codec();
        Self { inner }
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, item: Body, dst: &mut BytesMut) -> Result<(), FrameError> {
        let frame = Frame { body: Some(item) };
        let encoded = Bytes::from(frame.encode_to_vec());
        self.inner.encode(encoded, dst)?;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Body>, FrameError> {
        let Some(bytes) = self.inner.decode(src)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes)?;
        frame.body.map_or(Err(FrameError::Empty), |b| Ok(Some(b)))
    }
}
