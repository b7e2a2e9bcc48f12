//! Polls the platform's host list to find out whether this host is leaving.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_runtime::platform::HttpHosts;

use crate::node::Node;

/// The poll interval; the list itself lags by more.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the list until the agent stops or the list marks its host as leaving.
///
/// A replaced host of the same name may still be listed as leaving, since the list
/// lags. So the entry must have the address of this process as well.
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
