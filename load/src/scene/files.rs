//! A deployment as settings files, for processes started by hand.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use snipeyoke_standin::Settings;

use super::Deployment;
use super::process;
use super::process::Place;
use super::process::RouterAddresses;

/// Ports of one block: routers, their control, their peers, agents, endpoints.
const BLOCK: u16 = 100;

/// The first line of each file.
const HEAD: &str = "// Made by `snipeyoke-load settings`; addresses are those of one host.\n";

/// Returns the settings of every process, by file name.
///
/// The ports begin at `first`, with the platform's.
#[must_use]
pub fn files(deployment: &Deployment, first: u16) -> BTreeMap<String, String> {
    let scene = deployment.scene();
    let port = |block: u16, index: usize| {
        let index = u16::try_from(index).unwrap_or(u16::MAX);
        let port = first.saturating_add(block * BLOCK).saturating_add(index);
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    };
    let platform = port(0, 0);
    let mut files = BTreeMap::new();
    let mut standin = scene.platform.clone();
    standin.listen = platform;
    let mut standins = vec![json!(Settings::Platform(standin))];
    let mut agents = Vec::new();
    for (serial, place) in Place::all(deployment).enumerate() {
        let (listen, endpoint) = (port(4, serial), port(5, serial));
        let mut standin = place.pool.endpoint.clone();
        standin.set_seed(serial as u64);
        standin.set_listen(endpoint);
        standins.push(json!(standin));
        agents.push(listen);
        let settings = place.agent(listen, endpoint, platform);
        files.insert(format!("agent-{}.jsonc", place.id()), pretty(&settings));
    }
    for index in 0..scene.routers {
        let others = (0..scene.routers).filter(|other| *other != index);
        let at = RouterAddresses {
            callers: port(1, index),
            control: port(2, index),
            peers: port(3, index),
            agents: agents.clone(),
            routers: others.map(|other| port(3, other)).collect(),
            platform,
        };
        let settings = process::router(scene, index, "predicted", &at);
        files.insert(format!("router-{}.jsonc", index + 1), pretty(&settings));
    }
    files.insert("standins.jsonc".to_owned(), pretty(&json!(standins)));
    files
}

fn pretty(value: &Value) -> String {
    // The alternate form of a JSON value is that with line breaks.
    format!("{HEAD}{value:#}\n")
}
