//! Selection of the source from which a node gets a configuration that it
//! lacks.

use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::serving::catch_up::CatchUp;
use snipeyoke_lib::serving::catch_up::ConfigMark;
use snipeyoke_lib::serving::catch_up::REGISTRY_GRACE;
use snipeyoke_lib::serving::catch_up::REGISTRY_PATIENCE;
use snipeyoke_lib::serving::catch_up::STALL_TIMEOUT;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::slices::SLICE_MAX_BYTES;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// The number of peers of the node.
const PEERS: u16 = 21;

/// The size of a configuration of 4,200 routes, in bytes.
const CONFIG_BYTES: usize = 780_983;

/// A configuration too large to be requested from a peer without delay.
const LARGE_CONFIG: u64 = CONFIG_BYTES as u64;

/// The throughput of a link of 10 Mbit/s, in bytes per second.
const LINK_BYTES_PER_SECOND: f64 = 1.25e6;

/// The interval between two polls of peers.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Returns what a node complete up to an offset has.
fn mark(offset: u64) -> ConfigMark {
    ConfigMark {
        next: Position::new(0, offset),
        rank: None,
    }
}

fn node(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn live() -> impl Iterator<Item = (SocketAddr, Option<MilliCores>)> {
    (1..=PEERS).map(|n| (node(n), Some(MilliCores(if n <= 8 { 500 } else { 90 }))))
}

/// A node that lacks the configuration that all its peers have.
struct Lagging {
    now: Time,
    catch_up: CatchUp,
    /// The bytes of the record that were received, and those in flight.
    received: usize,
    in_flight: usize,
    sources: Vec<SocketAddr>,
}

impl Lagging {
    fn new() -> Self {
        let mut catch_up = CatchUp::new(node(99));
        catch_up.advance_to(mark(6));
        Self {
            now: Time::from_millis(10_000),
            catch_up,
            received: 0,
            in_flight: 0,
            sources: Vec::new(),
        }
    }

    /// Simulates a millisecond; `dead` peers never respond.
    fn step(&mut self, dead: impl Fn(SocketAddr) -> bool) {
        let since = self.now.as_micros() / 1_000;
        if since.is_multiple_of(POLL_INTERVAL.as_millis() as u64) {
            let polled = node(1 + (since / 250 % u64::from(PEERS)) as u16);
            self.catch_up
                .on_peer_mark(self.now, polled, mark(7), LARGE_CONFIG);
        }
        if let Some(node) = self.catch_up.choose_source(self.now, live()) {
            self.sources.push(node);
            self.in_flight = SLICE_MAX_BYTES;
        }
        let from = self.sources.last().copied();
        if let Some(from) = from.filter(|&node| self.in_flight > 0 && !dead(node)) {
            let more = (LINK_BYTES_PER_SECOND / 1e3) as usize;
            self.received += more.min(self.in_flight);
            self.in_flight = self.in_flight.saturating_sub(more);
            if self.in_flight == 0
                && self.received < CONFIG_BYTES
                && self.catch_up.on_slice(self.now, from)
            {
                self.in_flight = SLICE_MAX_BYTES;
            }
        }
        self.now = self.now + Duration::from_millis(1);
    }
}

#[test]
fn a_node_that_is_behind_fetches_one_copy() {
    // The registry's response is lost. All peers have a configuration that
    // takes 0.6 s over this node's link, and report it one after the other.
    let mut lagging = Lagging::new();
    let started = lagging.now;
    while lagging.received < CONFIG_BYTES {
        lagging.step(|_| false);
    }
    assert_eq!(lagging.sources.len(), 1, "one peer is used");
    let elapsed = lagging.now.since(started);
    let copy = Duration::from_secs_f64(CONFIG_BYTES as f64 / LINK_BYTES_PER_SECOND);
    assert!(
        elapsed < REGISTRY_PATIENCE + copy + 2 * POLL_INTERVAL,
        "after {elapsed:?}"
    );
    lagging.catch_up.advance_to(mark(7));
    assert_eq!(lagging.catch_up.wake(), Time::NEVER);
}

#[test]
fn no_peer_is_used_while_the_registry_responds() {
    // The registry's response takes three seconds over a full link. It makes
    // progress, and a second copy would take its bandwidth.
    let mut lagging = Lagging::new();
    for tick in 0..3_000 {
        if tick % 500 == 0 {
            lagging.catch_up.on_registry_data(lagging.now);
        }
        lagging.step(|_| false);
    }
    assert_eq!(lagging.sources, []);
}

#[test]
fn a_stalled_copy_continues_from_another_peer() {
    // The first two sources have failed, which no node knows yet. The copy
    // comes from the third one, and no two are used within the same stall
    // time-out.
    let mut lagging = Lagging::new();
    let mut dead = Vec::new();
    let started = lagging.now;
    while lagging.received < CONFIG_BYTES {
        let failed = lagging
            .sources
            .last()
            .filter(|_| lagging.sources.len() <= 2);
        dead.extend(failed.copied());
        let failed_nodes = dead.clone();
        lagging.step(|node| failed_nodes.contains(&node));
        assert!(
            lagging.now.since(started) < Duration::from_secs(10),
            "the copy never completes"
        );
    }
    assert_eq!(lagging.sources.len(), 3);
    let copy = Duration::from_secs_f64(CONFIG_BYTES as f64 / LINK_BYTES_PER_SECOND);
    assert!(
        lagging.now.since(started)
            < REGISTRY_PATIENCE + 2 * STALL_TIMEOUT + copy + 2 * POLL_INTERVAL
    );
}

#[test]
fn without_the_registry_a_peer_is_used_at_once() {
    // The registry refuses this node, so there is nothing to wait for.
    let mut lagging = Lagging::new();
    lagging.catch_up.set_registry_failed(true);
    lagging
        .catch_up
        .on_peer_mark(lagging.now, node(3), mark(7), LARGE_CONFIG);
    assert_eq!(
        lagging.catch_up.choose_source(lagging.now, live()),
        Some(node(3))
    );
}

#[test]
fn strong_hosts_are_preferred_and_load_is_spread() {
    // Fourteen small nodes are behind together. A small host that sent a copy
    // would fill its own link, and so would one strong host that sent all of
    // them.
    let mut sources = std::collections::BTreeSet::new();
    for own in 100..114 {
        let mut catch_up = CatchUp::new(node(own));
        catch_up.set_registry_failed(true);
        for holder in 1..=PEERS {
            catch_up.on_peer_mark(Time::ZERO, node(holder), mark(7), LARGE_CONFIG);
        }
        sources.extend(catch_up.choose_source(Time::ZERO, live()));
    }
    assert!(sources.iter().all(|a| a.port() <= 8), "{sources:?}");
    assert!(sources.len() >= 4, "{sources:?}");
}

#[test]
fn without_a_holder_no_decision_is_due() {
    // The only peer that had more has failed. A decision that stays due would
    // keep the node busy for nothing.
    let mut catch_up = CatchUp::new(node(99));
    catch_up.set_registry_failed(true);
    assert!(catch_up.on_peer_mark(Time::ZERO, node(50), mark(7), LARGE_CONFIG));
    assert_eq!(catch_up.choose_source(Time::ZERO, live()), None);
    assert_eq!(catch_up.wake(), Time::NEVER);
    assert!(catch_up.on_peer_mark(Time::ZERO, node(3), mark(7), LARGE_CONFIG));
    assert_eq!(catch_up.choose_source(Time::ZERO, live()), Some(node(3)));
}

#[test]
fn the_registry_is_read_once_per_missing_change() {
    // A peer reports a change before this node's own read is answered. The node
    // waits for the response and then reads once per missing change.
    let mut catch_up = CatchUp::new(node(99));
    let reported = Time::from_millis(1_000);
    catch_up.on_peer_mark(reported, node(3), mark(7), LARGE_CONFIG);
    catch_up.on_peer_mark(reported + POLL_INTERVAL, node(4), mark(7), LARGE_CONFIG);
    assert_eq!(catch_up.read_at(), reported + REGISTRY_GRACE);
    catch_up.on_registry_read();
    assert_eq!(catch_up.read_at(), Time::NEVER);
    catch_up.on_registry_data(reported + REGISTRY_GRACE);
    assert_eq!(
        catch_up.registry_active_until(),
        reported + REGISTRY_GRACE + STALL_TIMEOUT
    );
    catch_up.on_registry_end();
    assert_eq!(catch_up.registry_active_until(), Time::ZERO);
    catch_up.advance_to(mark(7));
    catch_up.on_peer_mark(reported + STALL_TIMEOUT, node(3), mark(8), LARGE_CONFIG);
    assert_eq!(
        catch_up.read_at(),
        reported + STALL_TIMEOUT + REGISTRY_GRACE
    );
}

#[test]
fn a_small_change_comes_from_the_peer_that_reports_it() {
    // One node reads the registry for all and reports a change. If each node
    // read it for itself, hundreds would do so at the same moment.
    let mut catch_up = CatchUp::new(node(99));
    catch_up.advance_to(mark(6));
    let reported = Time::from_millis(10_000);
    catch_up.on_peer_mark(reported, node(3), mark(7), 8_000);
    assert_eq!(catch_up.choose_source(reported, live()), Some(node(3)));
    assert!(
        catch_up.read_at() >= reported + REGISTRY_PATIENCE,
        "the registry waits"
    );
    assert!(catch_up.read_at() < Time::NEVER, "the peer may be lost");
}
