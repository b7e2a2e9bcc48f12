//! Links from routers.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::Offset;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::link;
use snipeyoke_runtime::link::LinkReader;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_wire::Ask;
use snipeyoke_wire::Call;
use snipeyoke_wire::SlotsFreed;
use snipeyoke_wire::Told;
use snipeyoke_wire::frame::Body;

use crate::calls;
use crate::node::Node;
use crate::once;
use crate::orders;
use crate::report;

/// The delay after a failed accept, so that running out of file descriptors does
/// not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The calls of one link without a reply so far, by number.
type Calls = Arc<Mutex<BTreeMap<u64, Running>>>;

#[derive(Debug)]
struct Running {
    cancel: Flag,
    idempotent: bool,
}

/// Accepts links until the agent stops.
pub(crate) async fn accept(node: Arc<Node>, listener: Async<TcpListener>) {
    let stopped = async {
        node.stop.wait().await;
        None
    };
    let mut stopped = Box::pin(stopped);
    loop {
        let accepted = async { Some(listener.accept().await) };
        match accepted.or(&mut stopped).await {
            None => return,
            Some(Ok((stream, _peer))) => start(&node, stream),
            Some(Err(error)) => {
                log::warn!(event = "accept-failed", error = error.to_string().as_str(), remedy = "raise the descriptor limit"; "");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn start(node: &Arc<Node>, stream: Async<TcpStream>) {
    let Ok((sender, writer, reader)) = link::open(stream) else {
        return;
    };
    node.scope.spawn(async move {
        if let Err(error) = writer.run().await {
            log::debug!(event = "link-write-failed", error = error.to_string().as_str(); "");
        }
    });
    let task_node = Arc::clone(node);
    node.scope
        .spawn(async move { serve(task_node, sender, reader).await });
}

async fn serve(node: Arc<Node>, sender: LinkSender, mut reader: LinkReader) {
    let id = node.add_link(sender.clone());
    let calls = Calls::default();
    // The first report is sent at once, since a router sends no calls before it.
    let first = [
        Body::Hello(node.hello()),
        Body::Heartbeat(report::heartbeat(&node, 0)),
    ];
    if first.into_iter().any(|frame| sender.send(frame).is_err()) {
        node.remove_link(id);
        return;
    }
    let stopped = async {
        node.stop.wait().await;
        Ok(None)
    };
    let mut stopped = Box::pin(stopped);
    loop {
        match reader.next().or(&mut stopped).await {
            Ok(Some(Body::Heartbeat(heartbeat))) => node.on_heartbeat(id, &heartbeat),
            Ok(Some(body)) => handle_frame(&node, &sender, &calls, body),
            Ok(None) => break,
            Err(error) => {
                log::info!(event = "link-failed", error = error.to_string().as_str(); "");
                break;
            }
        }
    }
    node.remove_link(id);
    sender.close();
    cancel_idempotent(&calls);
}

fn handle_frame(node: &Arc<Node>, sender: &LinkSender, calls: &Calls, body: Body) {
    match body {
        Body::Call(call) => start_call(node, sender, calls, call),
        Body::Cancel(cancel) => {
            let calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(running) = calls.get(&cancel.call) {
                running.cancel.set();
            }
        }
        Body::Order(order) => {
            let task_node = Arc::clone(node);
            let link = sender.clone();
            node.scope
                .spawn(async move { orders::run(task_node, link, order).await });
        }
        Body::ConfigAsk(ask) => {
            for offer in node.config_store.offers_since(Offset(ask.have)) {
                send_config(sender, Body::ConfigOffer(offer));
            }
        }
        Body::ConfigOffer(offer) => {
            let now = node.clock.now();
            if node.config_store.apply_offer(now, &offer, |_, _, _| {}).gap
                && let Some(ask) = node.config_store.request(now)
            {
                send_config(sender, Body::ConfigAsk(ask));
            }
        }
        Body::SlotsFreed(freed) => on_slots_freed(node, &freed),
        Body::Ask(ask) => start_lookup(node, sender, &ask),
        Body::Hello(hello) => {
            log::info!(event = "link-up", peer = hello.node.as_str(), incarnation = hello.incarnation; "");
        }
        other => log::debug!(event = "frame-ignored", frame = format!("{other:?}").as_str(); ""),
    }
}

fn start_call(node: &Arc<Node>, sender: &LinkSender, calls: &Calls, call: Call) {
    let cancel = Flag::default();
    let running = Running {
        cancel: cancel.clone(),
        idempotent: call.once.is_none(),
    };
    let number = call.call;
    calls
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(number, running);
    let task_node = Arc::clone(node);
    let sender = sender.clone();
    let calls = Arc::clone(calls);
    node.scope.spawn(async move {
        calls::run(&task_node, &sender, call, cancel).await;
        calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&number);
    });
}

fn send_config(sender: &LinkSender, body: Body) {
    if let Err(error) = sender.send(body) {
        log::debug!(event = "config-unsent", error = error.to_string().as_str(); "");
    }
}

fn on_slots_freed(node: &Node, freed: &SlotsFreed) {
    let same = freed.pool == node.settings.endpoint.pool.as_str();
    // A draining agent would have to release them right away.
    if let Some(owner) = &node.owner
        && same
        && !node.drain.is_set()
    {
        owner.on_slots_freed();
    }
}

fn start_lookup(node: &Arc<Node>, sender: &LinkSender, ask: &Ask) {
    let key = ask.key.as_ref().and_then(once::key_of);
    let (Some(owner), Some(key)) = (node.owner.clone(), key) else {
        return;
    };
    let number = ask.ask;
    let sender = sender.clone();
    node.scope.spawn(async move {
        let outcome = once::look_up(&owner, &key).await;
        let response = Told {
            ask: number,
            reply: Some(calls::reply_from(0, outcome, Duration::ZERO)),
        };
        if sender.send(Body::Told(response)).is_err() {
            log::debug!(event = "told-lost", ask = number; "");
        }
    });
}

/// Cancels the idempotent calls of a closed link.
///
/// A non-idempotent call continues: its router may request the result over another
/// link, and a cancelled effect would have no result.
fn cancel_idempotent(calls: &Calls) {
    let calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
    for running in calls.values().filter(|r| r.idempotent) {
        running.cancel.set();
    }
}
