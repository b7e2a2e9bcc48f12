//! Tests of the heap use of framed connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future;
use snipeyoke_runtime::link;
use snipeyoke_runtime::listen::bind;
use snipeyoke_wire::Cancel;
use snipeyoke_wire::frame::Body;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// The maximum heap use of one end of an idle link.
///
/// Two ends to each of 340 nodes then use a sixth of 128 MB.
const LINK_END_MAX_BYTES: usize = 32 << 10;

const LINKS: usize = 64;

#[test]
fn an_idle_link_uses_little_memory() {
    // Guards against nodes that run out of memory in a fleet of hundreds: each node
    // holds two link ends to every other node, so idle links add up.
    let _profiler = dhat::Profiler::builder().testing().build();
    future::block_on(async {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
        let address = listener.get_ref().local_addr().expect("an address");
        let before = dhat::HeapStats::get().curr_bytes;
        let mut links = Vec::new();
        for call in 0..LINKS as u64 {
            let near = link::connect(address, Duration::from_secs(5)).await;
            let (far, _peer) = listener.accept().await.expect("a connection arrives");
            let near = link::open(near.expect("the listener accepts")).expect("options");
            let far = link::open(far).expect("options");
            near.0
                .send(Body::Cancel(Cancel { call }))
                .expect("there is room");
            links.push((near, far));
        }
        let each = (dhat::HeapStats::get().curr_bytes - before) / (2 * LINKS);
        assert!(each <= LINK_END_MAX_BYTES, "{each} bytes for one end");
    });
}
