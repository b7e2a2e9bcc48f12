//! Prints the cost of membership per node against the number of nodes.
//!
//! `cargo run --release -p snipeyoke-lib --example slopes`. The transport is
//! in process; the codec is timed separately, with heartbeats as sent on a link.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use prost::Message;
use snipeyoke_lib::membership::NodeKind;
use snipeyoke_lib::membership::Profile;
use snipeyoke_lib::membership::ViewSettings;
use snipeyoke_testutils::mesh::Mesh;
use snipeyoke_testutils::mesh::listed;
use snipeyoke_testutils::mesh::profile;
use snipeyoke_wire::Frame;
use snipeyoke_wire::Heartbeat;
use snipeyoke_wire::Load;
use snipeyoke_wire::frame::Body;

/// The size of a frame's length prefix.
const PREFIX_BYTES: usize = 4;

/// The IP and TCP headers, with timestamps, of a frame's packet and its bare ACK.
const HEADER_BYTES: usize = 2 * 52;

/// The number of pools at the design size.
const POOL_COUNT: usize = 17;

/// The numbers of routers and agents, at the design size's ratio of one to two.
const SIZES: [(usize, usize); 5] = [(7, 13), (27, 53), (107, 213), (214, 426), (340, 680)];

/// The time for nodes to connect and links to settle.
const SETTLE_TIME: Duration = Duration::from_mins(1);

/// The simulated time that is measured.
const MEASURED_TIME: Duration = Duration::from_mins(1);

/// The number of iterations when the codec is timed.
const ITERATIONS: u32 = 200_000;

fn heartbeat(kind: NodeKind) -> Frame {
    let load = Load {
        seq: 7_200_000,
        slots: 32,
        active: 30,
        queued: 12,
        pending_tokens: 48_000,
        prefill_rate: 8_123.4,
        decode_rate: 41.7,
        age_us: 180_000,
        draining: false,
        healthy: true,
        kv_used: 410_000,
        kv_total: 524_288,
        models: vec!["copywriting-34b@7".to_owned(), "headline-8b@12".to_owned()],
    };
    let heartbeat = Heartbeat {
        incarnation: 1_796_000_000_000,
        seq: 7_200_000,
        config_offset: 90_000,
        config_revision: 13_000,
        draining: false,
        seen_seq: 7_199_999,
        interval_ms: 1_200,
        slots: Vec::new(),
        load: (kind == NodeKind::Agent).then_some(load),
    };
    Frame {
        body: Some(Body::Heartbeat(heartbeat)),
    }
}

fn codec_time(kind: NodeKind) -> Duration {
    let frame = heartbeat(kind);
    let started = Instant::now();
    for _ in 0..ITERATIONS {
        let bytes = std::hint::black_box(&frame).encode_to_vec();
        let decoded = Frame::decode(bytes.as_slice());
        assert!(std::hint::black_box(decoded).is_ok(), "a heartbeat decodes");
    }
    started.elapsed() / ITERATIONS
}

#[derive(Default)]
struct Row {
    nodes: usize,
    links: usize,
    max_links: usize,
    sent: u64,
    received: u64,
}

impl Row {
    fn add(&mut self, mesh: &Mesh, at: SocketAddr, received: u64) {
        let links = mesh
            .view(at)
            .map_or(0, snipeyoke_lib::membership::View::link_count);
        self.nodes += 1;
        self.links += links;
        self.max_links = self.max_links.max(links);
        self.sent += mesh.sent.get(&at).copied().unwrap_or_default();
        self.received += received;
    }
}

/// Estimates the heartbeats a node received, from the number its peers sent per link.
fn received(mesh: &Mesh, at: SocketAddr) -> u64 {
    let Some(view) = mesh.view(at) else {
        return 0;
    };
    let peers = view.members().values().filter(|m| m.link().is_some());
    let rate = |address| {
        let sent = mesh.sent.get(&address).copied().unwrap_or_default();
        let links = mesh
            .view(address)
            .map_or(1, snipeyoke_lib::membership::View::link_count);
        sent / links.max(1) as u64
    };
    peers.map(|m| rate(m.profile.address)).sum()
}

fn measure(routers: usize, agents: usize) {
    let names = (0..routers).map(|i| format!("r{i}"));
    let names = names.chain((0..agents).map(|i| format!("a{i}")));
    let profiles: Vec<Profile> = names.map(|n| profile(&n, POOL_COUNT)).collect();
    let mut mesh = Mesh::new(1, ViewSettings::default());
    for profile in &profiles {
        mesh.start(profile.clone(), 1);
    }
    mesh.send_host_list(&listed(&profiles));
    mesh.run(SETTLE_TIME);
    mesh.sent.clear();
    let started = Instant::now();
    mesh.run(MEASURED_TIME);
    let busy = started.elapsed();

    let core_percent =
        100.0 * busy.as_secs_f64() / MEASURED_TIME.as_secs_f64() / profiles.len() as f64;
    for kind in [NodeKind::Router, NodeKind::Agent] {
        let mut row = Row::default();
        for profile in profiles.iter().filter(|p| p.kind == kind) {
            row.add(&mesh, profile.address, received(&mesh, profile.address));
        }
        print_row(kind, &row, profiles.len(), core_percent);
    }
}

fn print_row(kind: NodeKind, row: &Row, node_count: usize, core_percent: f64) {
    let seconds = MEASURED_TIME.as_secs_f64() * row.nodes as f64;
    let sent_rate = row.sent as f64 / seconds;
    let received_rate = row.received as f64 / seconds;
    // Routers receive from agents and agents from routers; the few links between
    // routers are counted as if they carried the longer agent heartbeat.
    let (own, other) = match kind {
        NodeKind::Router => (NodeKind::Router, NodeKind::Agent),
        NodeKind::Agent => (NodeKind::Agent, NodeKind::Router),
    };
    let size = |kind| (heartbeat(kind).encoded_len() + PREFIX_BYTES) as f64;
    let frames = sent_rate * size(own) + received_rate * size(other);
    let wire = frames + (sent_rate + received_rate) * HEADER_BYTES as f64;
    let codec =
        received_rate * codec_time(other).as_secs_f64() + sent_rate * codec_time(own).as_secs_f64();
    println!(
        "{node_count:>5} {kind:<7} {:>6.1} {:>5} {sent_rate:>7.1} {received_rate:>7.1} {:>8.2} {:>8.2} {core_percent:>8.3} {:>8.4}",
        row.links as f64 / row.nodes as f64,
        row.max_links,
        frames / 1_000.0,
        wire / 1_000.0,
        100.0 * codec,
    );
}

fn main() {
    println!("nodes kind     links  most   out/s    in/s  KB/s(f)  KB/s(w)    core%   codec%");
    for (routers, agents) in SIZES {
        measure(routers, agents);
    }
}
