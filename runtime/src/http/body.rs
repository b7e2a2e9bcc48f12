//! Request and response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use super::connections::HeldMemory;

/// The largest slice of a long response, in bytes.
///
/// The connection takes the next slice when most of the one before has been sent.
const SLICE_MAX_BYTES: usize = 16 << 10;

/// The body of a response sent by the server.
pub type ReplyBody = UnsyncBoxBody<Bytes, BodyAborted>;

/// The error that aborts a body and closes its connection.
///
/// A truncated body must not look complete, so the connection can't be reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the response body was aborted: send the request again")]
pub struct BodyAborted;

/// The reason why a body can't be read.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("the body has more than {max} bytes: send less")]
    #[from(ignore)]
    TooLarge {
        /// The most bytes allowed.
        max: usize,
    },
    /// The connection failed.
    #[display("the body ended early: {_0}; send it again")]
    Connection(hyper::Error),
    /// Other requests have the memory.
    #[display("the memory for requests is in use: send it again later")]
    #[from(ignore)]
    NoMemory,
}

/// Returns a body with the given bytes.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// Returns a body with the given bytes, which is sent in slices so that `memory` is held
/// until the caller has taken most of it.
#[must_use]
pub fn sliced(bytes: Bytes, memory: HeldMemory) -> ReplyBody {
    SlicedBody { bytes, memory }.boxed_unsync()
}

struct SlicedBody {
    bytes: Bytes,
    memory: HeldMemory,
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        self.memory.record_progress();
        Poll::Ready(Some(Ok(Frame::data(next_slice(&mut self.bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Takes the next slice to be sent off the start of `bytes`.
pub fn next_slice(bytes: &mut Bytes) -> Bytes {
    bytes.split_to(bytes.len().min(SLICE_MAX_BYTES))
}

/// Returns an empty body.
#[must_use]
pub fn empty() -> ReplyBody {
    full(Bytes::new())
}

/// Returns a body that sends the chunks of a stream.
///
/// The stream is dropped when the client's connection closes.
#[must_use]
pub fn streamed(chunks: impl Stream<Item = Bytes> + Send + 'static) -> ReplyBody {
    abortable(chunks.map(Ok))
}

/// Returns a body that sends the chunks of a stream, until the end or an abort.
#[must_use]
pub fn abortable(
    chunks: impl Stream<Item = Result<Bytes, BodyAborted>> + Send + 'static,
) -> ReplyBody {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}

fn never(error: Infallible) -> BodyAborted {
    match error {}
}

/// Reads a whole body of at most `max` bytes.
///
/// # Errors
///
/// Returns [`BodyError`] if it is larger or its connection fails.
pub async fn collect(body: Incoming, max: usize) -> Result<Bytes, BodyError> {
    collect_with_progress(body, max, |_bytes| ()).await
}

/// Reads a whole body and passes the size of each frame to `on_frame`.
///
/// # Errors
///
/// Returns [`BodyError`] if it is larger than `max` bytes or its connection
/// fails.
pub async fn collect_with_progress(
    mut body: Incoming,
    max: usize,
    mut on_frame: impl FnMut(usize),
) -> Result<Bytes, BodyError> {
    // A frame may hold a whole read buffer, however small it is, so its bytes are copied.
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Connection)?.into_data() else {
            continue;
        };
        if data.len() > max - bytes.len() {
            return Err(BodyError::TooLarge { max });
        }
        bytes.extend_from_slice(&data);
        on_frame(data.len());
    }
    bytes.shrink_to_fit();
    Ok(Bytes::from(bytes))
}

/// Returns the same body, which drops `guard` once it is sent or abandoned.
#[must_use]
pub fn with_guard(body: ReplyBody, guard: impl Send + 'static) -> ReplyBody {
    let guard = Box::new(guard);
    GuardedBody {
        body,
        _guard: guard,
    }
    .boxed_unsync()
}

/// A body that holds a guard until it is dropped.
struct GuardedBody<T> {
    body: ReplyBody,
    _guard: Box<T>,
}

impl<T> Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
