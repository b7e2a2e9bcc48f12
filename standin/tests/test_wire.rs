//! Tests of the network between two processes.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future;
use snipeyoke_standin::Wire;

type Listener = async_io::Async<std::net::TcpListener>;
type Stream = async_io::Async<std::net::TcpStream>;

#[test]
fn holds_everything_in_a_partition_and_delivers_it_after() {
    // Both sides see silence, not a reset. What was sent arrives when it ends,
    // in order and whole, as over TCP that goes on sending again.
    let exec = Arc::new(Executor::new());
    future::block_on(exec.run(async {
        let far = Listener::bind(([127, 0, 0, 1], 0)).expect("a free port is found");
        let target = far.get_ref().local_addr();
        let target = target.expect("a bound socket has an address");
        let wire = Wire::start(&exec, target, Duration::from_millis(1));
        let wire = wire.expect("a free port is found");
        let near = Stream::connect(wire.address()).await;
        let mut near = near.expect("the wire accepts");
        let (mut far, _) = far.accept().await.expect("the wire connects");
        wire.cut(true);
        let sent: Vec<u8> = (0..=255).cycle().take(100_000).collect();
        near.write_all(&sent).await.expect("the wire reads");
        let mut first = [0; 1];
        let silent = async {
            let read = far.read(&mut first).await;
            Some(read)
        };
        let waited = async {
            async_io::Timer::after(Duration::from_millis(50)).await;
            None
        };
        assert!(silent.or(waited).await.is_none());
        wire.cut(false);
        let mut read = vec![0; sent.len()];
        far.read_exact(&mut read).await.expect("all of it arrives");
        assert!(read == sent);
        wire.stop().await;
        assert!(matches!(far.read(&mut first).await, Ok(0) | Err(_)));
    }));
}
