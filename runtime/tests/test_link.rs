//! Tests of framed connections over loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use async_executor::Executor;
use bytes::Bytes;
use futures_lite::future;
use snipeyoke_runtime::link;
use snipeyoke_runtime::link::LinkReader;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_runtime::link::LinkWriter;
use snipeyoke_runtime::link::SendError;
use snipeyoke_runtime::listen::bind;
use snipeyoke_wire::Cancel;
use snipeyoke_wire::FRAME_MAX;
use snipeyoke_wire::Reply;
use snipeyoke_wire::frame::Body;

type LinkHalves = (LinkSender, LinkWriter, LinkReader);

async fn pair() -> (LinkHalves, LinkHalves) {
    let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
    let address = listener.get_ref().local_addr().expect("an address");
    let near = link::connect(address, Duration::from_secs(5)).await;
    let (far, _peer) = listener.accept().await.expect("a connection arrives");
    let near = link::open(near.expect("the listener accepts"));
    (near.expect("options"), link::open(far).expect("options"))
}

fn cancel(call: u64) -> Body {
    Body::Cancel(Cancel { call })
}

#[test]
fn frames_arrive_in_order() {
    let exec = Arc::new(Executor::new());
    future::block_on(exec.run(async {
        let ((sender, writer, near), (_sender, _writer, mut far)) = pair().await;
        let task = exec.spawn(writer.run());
        for call in 0..100 {
            sender.send(cancel(call)).expect("there is room");
        }
        for call in 0..100 {
            assert_eq!(far.next().await.expect("a frame"), Some(cancel(call)));
        }
        sender.close();
        task.await.expect("the writer ends without error");
        drop(near);
        assert_eq!(far.next().await.expect("the end"), None);
    }));
}

#[test]
fn a_peer_that_does_not_read_fills_its_queue() {
    // Guards against unbounded memory use when a peer stops reading: once the queue
    // is full, further frames are refused.
    future::block_on(async {
        let ((sender, _writer, _near), _far) = pair().await;
        let accepted = (0..2_000).take_while(|&call| sender.send(cancel(call)).is_ok());
        assert_eq!(accepted.count(), 1_024);
        assert_matches!(sender.send(cancel(0)), Err(SendError::Full));
    });
}

#[test]
fn an_oversized_frame_ends_only_its_own_call() {
    // Guards against an oversized body that fails all calls on its link. The codec
    // would close the connection on a frame over its limit, so the queue refuses it.
    let exec = Arc::new(Executor::new());
    future::block_on(exec.run(async {
        let ((sender, writer, _near), (_sender, _writer, mut far)) = pair().await;
        let task = exec.spawn(writer.run());
        let body = Bytes::from(vec![b'x'; FRAME_MAX]);
        let huge = Body::Reply(Reply {
            body,
            ..Reply::default()
        });
        sender.send(cancel(1)).expect("there is room");
        assert_matches!(sender.send(huge), Err(SendError::TooLarge));
        sender.send(cancel(2)).expect("the link is still open");
        assert_eq!(far.next().await.expect("a frame"), Some(cancel(1)));
        assert_eq!(far.next().await.expect("a frame"), Some(cancel(2)));
        task.cancel().await;
    }));
}

#[test]
fn a_frame_that_was_never_written_is_known_as_such() {
    // Guards against a wrong "not run" for a call that may have run. Here the link is
    // closed before the writer runs: nothing is written, and later sends are refused.
    future::block_on(async {
        let ((sender, writer, _near), _far) = pair().await;
        let written = sender.send_tracked(cancel(1)).expect("there is room");
        sender.close();
        drop(writer);
        assert!(!written.is_set());
        assert_matches!(sender.send(cancel(2)), Err(SendError::Closed));
    });
}

/// Guards against a link to a node that is down which the system connects to itself, so
/// that its port stays taken.
#[test]
fn a_dial_does_not_connect_to_itself() {
    // The system goes through its range of ports for connections, one after the other of
    // the same parity as its first.
    const DIALS: usize = 32_768;
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the range is readable");
    let first: u16 = range
        .split_ascii_whitespace()
        .next()
        .and_then(|first| first.parse().ok())
        .expect("a port");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, first + 5_000));
    future::block_on(async {
        for dial in 0..DIALS {
            let connected = link::connect(address, Duration::from_secs(5)).await;
            let own = connected.and_then(|stream| stream.get_ref().local_addr());
            assert!(!own.is_ok_and(|own| own == address), "dial {dial}");
        }
    });
}
