//! Client for the platform's host list, which may lag behind reality.

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

/// The timeout for reading the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of the list.
const LIST_MAX_BYTES: usize = 4 << 20;

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
    /// Creates a client for the platform at `address`.
    #[must_use]
    pub const fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Returns the list, or `None` if it can't be fetched or parsed.
    ///
    /// Callers then keep the last list, so that an outage of the platform does not
    /// look like the loss of every host.
    pub async fn list(&self) -> Option<Vec<ListedNode>> {
        let timeout = async {
            Timer::after(READ_TIMEOUT).await;
            None
        };
        let body = self.fetch().or(timeout).await?;
        let list: List = serde_json::from_slice(&body)
            .inspect_err(|error| {
                log::warn!(event = "host-list-malformed", error = error.to_string().as_str(), remedy = "correct the platform's host list; the last valid list stays in use"; "");
            })
            .ok()?;
        Some(list.hosts.into_iter().flat_map(host_nodes).collect())
    }

    async fn fetch(&self) -> Option<Bytes> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = Uri::from_static("/hosts");
        let (response, conn) = self.client.send(self.address, request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = collect(response.into_body(), LIST_MAX_BYTES).await.ok()?;
        self.client.recycle(conn);
        Some(body)
    }
}

fn host_nodes(entry: HostEntry) -> Vec<ListedNode> {
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
