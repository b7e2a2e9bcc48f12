//! The heap that framed connections take.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future;
use snipeyoke_runtime::http::bind;
use snipeyoke_runtime::link;
use snipeyoke_wire::Cancel;
use snipeyoke_wire::frame::Body;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// The most bytes of heap for one end of a link that nothing waits on.
///
/// Two ends to each of 340 nodes then take a sixth of 128 MB.
const LINK_END_MAX_BYTES: usize = 32 << 10;

const LINKS: usize = 64;

#[test]
fn an_idle_link_uses_little_memory() {
    // Each node holds two ends to every other one: what an idle link takes is
    // paid as often as there are nodes, and a fleet of hundreds runs out of memory.
    let _profiler = dhat::Profiler::builder().testing().build();
    future::block_on(async {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
        let address = listener.get_ref().local_addr().expect("an address");
        let before = dhat::HeapStats::get().curr_bytes;
        let mut links = Vec::new();
        for call in 0..LINKS as u64 {
            let near = link::connect(address, Duration::from_secs(5)).await;
            let (far, _peer) = listener.accept().await.expect("the connection comes");
            let near = link::open(near.expect("the listener is there")).expect("options");
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
