//! Learns from the platform's host list that this host leaves.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_runtime::platform::HttpHosts;

use crate::node::Node;

/// The time between two looks at the list, which itself lags by more.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the list until the agent stops or is told to leave.
///
/// The list lags, and a host replaced under the same name may still be listed
/// as leaving. So the entry must name this very process's address as well.
pub(crate) async fn follow(node: Arc<Node>, hosts: HttpHosts) {
    while !node.stop.is_set() {
        let stopped = async {
            node.stop.wait().await;
            None
        };
        let list = hosts.list().or(stopped).await.unwrap_or_default();
        let own = &node.settings;
        let leaving = list.iter().any(|l| {
            let same = l.profile.host == own.host && l.profile.node == own.node;
            l.leaving && same && l.profile.address == own.listen
        });
        if leaving {
            log::warn!(event = "host-leaving", host = own.host.as_str(); "");
            node.host_leaving.set();
            return;
        }
        let pause = async {
            Timer::after(LIST_POLL_INTERVAL).await;
        };
        pause.or(node.stop.wait()).await;
    }
}
