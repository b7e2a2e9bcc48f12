//! Tests of response bodies.

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Body;
use snipeyoke_runtime::http::full;
use snipeyoke_runtime::http::streamed;
use snipeyoke_runtime::http::with_guard;

#[test]
fn a_response_counts_as_in_flight_until_it_was_read() {
    // Guards against a drain that truncates the response to a slow client. The
    // request has ended, but the client is still reading. The guard lives as long as
    // the body, and the drain waits for it.
    let (send, chunks) = async_channel::unbounded();
    let guard = Arc::new(());
    let mut body = with_guard(streamed(chunks), Arc::clone(&guard));
    for chunk in ["one", "two"] {
        send.try_send(Bytes::from(chunk))
            .expect("the channel is open");
    }
    drop(send);
    future::block_on(async {
        let first = body.frame().await.expect("a frame").expect("a valid one");
        assert_eq!(first.into_data().expect("data"), "one");
        assert_eq!(Arc::strong_count(&guard), 2);
        let rest = body.collect().await.expect("the rest").to_bytes();
        assert_eq!(rest, "two");
    });
    assert_eq!(Arc::strong_count(&guard), 1);
}

#[test]
fn a_guarded_body_keeps_its_length() {
    let body = with_guard(full("four"), ());
    assert_eq!(body.size_hint().exact(), Some(4));
}
