//! The links between nodes.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;
use async_io::Timer;
use snipeyoke_runtime::link;
use snipeyoke_runtime::link::LinkReader;
use snipeyoke_runtime::scope::Scope;

use super::Dispatcher;
use super::messages::LinkNumber;
use super::messages::Message;

/// The time-out of each attempt to connect to another node.
///
/// A starting host loses the first packet of a connection, and the system
/// resends it only a second later. A new attempt reaches the node as soon as it
/// is up. Nodes respond within a few milliseconds; the last time-out also covers
/// other regions.
const CONNECT_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(80),
    Duration::from_millis(120),
    Duration::from_millis(200),
];

/// The pause after a failed accept.
///
/// Accept fails when descriptors run out; an immediate retry would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links from other nodes.
pub(crate) async fn accept(listener: Async<TcpListener>, dispatcher: Dispatcher, scope: Scope) {
    let mut next = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let number = LinkNumber(next);
                next += 1;
                scope.spawn(serve(
                    stream,
                    number,
                    dispatcher.inbox.clone(),
                    scope.clone(),
                ));
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error = error.to_string().as_str(), remedy = "raise the descriptor limit"; "");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: Async<TcpStream>, number: LinkNumber, inbox: Sender<Message>, scope: Scope) {
    let Ok((sender, writer, mut reader)) = link::open(stream) else {
        return;
    };
    scope.spawn(async move {
        let _ended = writer.run().await;
    });
    let opened = Message::InboundOpened {
        link: number,
        sender: sender.clone(),
    };
    let _closed = inbox.try_send(opened);
    while let Some(body) = next(&mut reader).await {
        let _closed = inbox.try_send(Message::InboundFrame { link: number, body });
    }
    sender.close();
    let _closed = inbox.try_send(Message::InboundClosed { link: number });
}

/// Opens a link to another node and reads it until it fails.
pub(super) async fn dial(peer: SocketAddr, inbox: Sender<Message>, scope: Scope) {
    if let Some(stream) = connect(peer).await
        && let Ok((sender, writer, mut reader)) = link::open(stream)
    {
        scope.spawn(async move {
            let _ended = writer.run().await;
        });
        let connected = Message::OutboundOpened {
            peer,
            sender: sender.clone(),
        };
        let _closed = inbox.try_send(connected);
        while let Some(body) = next(&mut reader).await {
            let _closed = inbox.try_send(Message::OutboundFrame { peer, body });
        }
        sender.close();
    }
    let _closed = inbox.try_send(Message::OutboundClosed { peer });
}

async fn connect(peer: SocketAddr) -> Option<Async<TcpStream>> {
    for timeout in CONNECT_TIMEOUTS {
        let timer = Timer::after(timeout);
        if let Ok(stream) = link::connect(peer, timeout).await {
            return Some(stream);
        }
        // A port without a listener refuses at once; wait out the attempt's
        // time-out.
        timer.await;
    }
    None
}

async fn next(reader: &mut LinkReader) -> Option<snipeyoke_wire::frame::Body> {
    match reader.next().await {
        Ok(body) => body,
        Err(error) => {
            log::debug!(event = "link-failed", error = error.to_string().as_str(); "");
            None
        }
    }
}
