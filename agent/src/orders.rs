//! Checks orders from the lease holder of the pool and forwards them to the engine.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::FencingNumber;
use snipeyoke_lib::placement::GateOutcome;
use snipeyoke_lib::placement::OrderId;
use snipeyoke_runtime::link::LinkSender;
use snipeyoke_wire::Order;
use snipeyoke_wire::OrderReply;
use snipeyoke_wire::frame::Body;

use crate::node::Node;

/// The timeout for the engine to accept an order; loading continues after it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Checks an order, forwards it and replies to it.
pub(crate) async fn run(node: Arc<Node>, link: LinkSender, order: Order) {
    let (accepted, reason) = match check(&node, &order) {
        Ok(GateOutcome::Repeated) => (true, "repeated".to_owned()),
        Ok(GateOutcome::New) => forward(&node, &order).await,
        Err(reason) => (false, reason),
    };
    log::info!(target: "placement", event = "order", order = order.order, fence = order.fence, verb = order.verb.as_str(), model = order.model.as_str(), version = order.version.as_str(), accepted = accepted, reason = reason.as_str(); "");
    let gate = node.orders.lock().unwrap_or_else(PoisonError::into_inner);
    let highest = gate.highest().0;
    drop(gate);
    let reply = OrderReply {
        order: order.order,
        accepted,
        reason,
        highest_fence: highest,
    };
    if link.send(Body::OrderReply(reply)).is_err() {
        log::debug!(event = "order-reply-lost", order = order.order; "");
    }
}

fn check(node: &Node, order: &Order) -> Result<GateOutcome, String> {
    let own = &node.settings.endpoint.pool;
    if order.pool != own.as_str() {
        return Err(format!(
            "the endpoint belongs to pool {own}: order that pool"
        ));
    }
    let mut gate = node.orders.lock().unwrap_or_else(PoisonError::into_inner);
    gate.check(FencingNumber(order.fence), OrderId(order.order))
        .map_err(|error| error.to_string())
}

async fn forward(node: &Node, order: &Order) -> (bool, String) {
    let body = serde_json::json!({
        "fence": order.fence, "verb": order.verb, "model": order.model,
        "version": order.version, "adapter": order.adapter, "role": order.role,
    });
    let timeout = async {
        Timer::after(ORDER_TIMEOUT).await;
        None
    };
    let status = node.endpoint.post("/orders", &body).or(timeout).await;
    match status {
        Some(status) if status.is_success() => (true, "taken".to_owned()),
        Some(status) => (false, format!("the engine answered {status}")),
        None => (false, "the engine did not answer".to_owned()),
    }
}
