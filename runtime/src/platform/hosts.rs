//! The host list over HTTP: a hint that lags.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Uri;
use serde::Deserialize;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::HostId;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::membership::ListedNode;
use snipeyoke_lib::membership::NodeKind;
use snipeyoke_lib::membership::Profile;

use crate::http::Client;
use crate::http::collect;

/// The longest time for one look at the list.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// The largest list that is taken, in bytes.
const LIST_MAX: usize = 4 << 20;

/// Reads the platform's host list.
#[derive(Debug, Clone)]
pub struct HttpHosts {
    client: Client,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct List {
    hosts: Vec<HostEntry>,
}

#[derive(Deserialize)]
struct HostEntry {
    host: HostId,
    domain: FailureDomain,
    region: Region,
    state: State,
    #[serde(default)]
    nodes: Vec<NodeEntry>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum State {
    Live,
    Leaving,
}

#[derive(Deserialize)]
struct NodeEntry {
    node: NodeId,
    kind: NodeKind,
    address: SocketAddr,
    #[serde(default)]
    pool: Option<PoolName>,
    #[serde(default)]
    endpoint: Option<EndpointId>,
}

impl HttpHosts {
    /// Builds an adapter for the platform at `address`.
    #[must_use]
    pub const fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Returns the list, or nothing if it can't be had or read now.
    ///
    /// Callers then keep to the last one: an outage of the platform must not
    /// look like the loss of every host.
    pub async fn list(&self) -> Option<Vec<ListedNode>> {
        let timeout = async {
            Timer::after(READ_LIMIT).await;
            None
        };
        let body = self.fetch().or(timeout).await?;
        let list: List = serde_json::from_slice(&body)
            .inspect_err(|error| {
                log::warn!(event = "host-list-malformed", error = error.to_string().as_str(), remedy = "mend the platform's list; the last good one stays"; "");
            })
            .ok()?;
        Some(list.hosts.into_iter().flat_map(listed).collect())
    }

    async fn fetch(&self) -> Option<Bytes> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = Uri::from_static("/hosts");
        let (response, kept) = self.client.send(self.address, request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = collect(response.into_body(), LIST_MAX).await.ok()?;
        self.client.keep(kept);
        Some(body)
    }
}

fn listed(entry: HostEntry) -> Vec<ListedNode> {
    let leaving = entry.state == State::Leaving;
    let listed = |node: NodeEntry| ListedNode {
        profile: Profile {
            node: node.node,
            kind: node.kind,
            host: entry.host.clone(),
            domain: entry.domain.clone(),
            region: entry.region.clone(),
            address: node.address,
            pool: node.pool,
            endpoint: node.endpoint,
        },
        leaving,
    };
    entry.nodes.into_iter().map(listed).collect()
}
