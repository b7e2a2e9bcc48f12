//! Where a node that lacks the newest configuration gets it from.

use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::serving::catch_up::CatchUp;
use snipeyoke_lib::serving::catch_up::REGISTRY_GRACE;
use snipeyoke_lib::serving::catch_up::REGISTRY_PATIENCE;
use snipeyoke_lib::serving::catch_up::STALL_TIMEOUT;
use snipeyoke_lib::serving::slices::SLICE_MAX_BYTES;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

/// The neighbours of the node.
const NODES: u16 = 21;

/// The bytes of a configuration of 4,200 routes.
const SIZE: usize = 780_983;

/// A configuration that neighbours are not asked for at once.
const LARGE: u64 = SIZE as u64;

/// The bytes a second of a link of 10 Mbit/s.
const LINK: f64 = 1.25e6;

/// The time between two looks at some neighbour.
const LOOK: Duration = Duration::from_millis(250);

fn node(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn live() -> impl Iterator<Item = (SocketAddr, Option<MilliCores>)> {
    (1..=NODES).map(|n| (node(n), Some(MilliCores(if n <= 8 { 500 } else { 90 }))))
}

/// A node that lacks the configuration that all its neighbours have.
struct Lagging {
    now: Time,
    catch_up: CatchUp,
    /// Bytes of the record that have come, and of those on their way.
    come: usize,
    coming: usize,
    asked: Vec<SocketAddr>,
}

impl Lagging {
    fn new() -> Self {
        let mut catch_up = CatchUp::new(node(99));
        catch_up.advance_to(Offset(6));
        Self {
            now: Time::from_millis(10_000),
            catch_up,
            come: 0,
            coming: 0,
            asked: Vec::new(),
        }
    }

    /// Plays a millisecond; `dead` neighbours never answer.
    fn step(&mut self, dead: impl Fn(SocketAddr) -> bool) {
        let since = self.now.as_micros() / 1_000;
        if since.is_multiple_of(LOOK.as_millis() as u64) {
            let looked = node(1 + (since / 250 % u64::from(NODES)) as u16);
            self.catch_up
                .on_peer_offset(self.now, looked, Offset(7), LARGE);
        }
        if let Some(node) = self.catch_up.choose_source(self.now, live()) {
            self.asked.push(node);
            self.coming = SLICE_MAX_BYTES;
        }
        let from = self.asked.last().copied();
        if let Some(from) = from.filter(|&node| self.coming > 0 && !dead(node)) {
            let more = (LINK / 1e3) as usize;
            self.come += more.min(self.coming);
            self.coming = self.coming.saturating_sub(more);
            if self.coming == 0 && self.come < SIZE && self.catch_up.on_slice(self.now, from) {
                self.coming = SLICE_MAX_BYTES;
            }
        }
        self.now = self.now + Duration::from_millis(1);
    }
}

#[test]
fn a_node_that_lags_takes_one_copy_over_its_link() {
    // The registry's answer is lost. All neighbours have a configuration that
    // takes 0.6 s over this node's link, and say so one after the other.
    let mut lagging = Lagging::new();
    let began = lagging.now;
    while lagging.come < SIZE {
        lagging.step(|_| false);
    }
    assert_eq!(lagging.asked.len(), 1, "one neighbour is asked");
    let took = lagging.now.since(began);
    let copy = Duration::from_secs_f64(SIZE as f64 / LINK);
    assert!(took < REGISTRY_PATIENCE + copy + 2 * LOOK, "took {took:?}");
    lagging.catch_up.advance_to(Offset(7));
    assert_eq!(lagging.catch_up.wake(), Time::NEVER);
}

#[test]
fn nobody_is_asked_while_the_registry_answers() {
    // The registry's answer takes three seconds over a full link. It comes
    // slowly, but it comes: a second copy would take its room.
    let mut lagging = Lagging::new();
    for tick in 0..3_000 {
        if tick % 500 == 0 {
            lagging.catch_up.on_registry_data(lagging.now);
        }
        lagging.step(|_| false);
    }
    assert_eq!(lagging.asked, []);
}

#[test]
fn a_stalled_copy_goes_on_elsewhere() {
    // The first two neighbours asked have died, which nobody knows yet. The copy
    // comes from the third one, and no two are asked within the same stall time-out.
    let mut lagging = Lagging::new();
    let mut dead = Vec::new();
    let began = lagging.now;
    while lagging.come < SIZE {
        let dies = lagging.asked.last().filter(|_| lagging.asked.len() <= 2);
        dead.extend(dies.copied());
        let gone = dead.clone();
        lagging.step(|node| gone.contains(&node));
        assert!(lagging.now.since(began) < Duration::from_secs(10), "never");
    }
    assert_eq!(lagging.asked.len(), 3);
    let copy = Duration::from_secs_f64(SIZE as f64 / LINK);
    assert!(lagging.now.since(began) < REGISTRY_PATIENCE + 2 * STALL_TIMEOUT + copy + 2 * LOOK);
}

#[test]
fn without_the_registry_a_neighbour_is_asked_at_once() {
    // The registry turns this node away. There is nothing to wait for.
    let mut lagging = Lagging::new();
    lagging.catch_up.set_registry_failed(true);
    lagging
        .catch_up
        .on_peer_offset(lagging.now, node(3), Offset(7), LARGE);
    assert_eq!(
        lagging.catch_up.choose_source(lagging.now, live()),
        Some(node(3))
    );
}

#[test]
fn strong_hosts_are_asked_first_and_not_all_nodes_ask_the_same() {
    // Fourteen small nodes lag together. A small host that passed on a copy
    // would fill its own link; one strong host that passed on all of them, too.
    let mut asked = std::collections::BTreeSet::new();
    for own in 100..114 {
        let mut catch_up = CatchUp::new(node(own));
        catch_up.set_registry_failed(true);
        for holder in 1..=NODES {
            catch_up.on_peer_offset(Time::ZERO, node(holder), Offset(7), LARGE);
        }
        asked.extend(catch_up.choose_source(Time::ZERO, live()));
    }
    assert!(asked.iter().all(|a| a.port() <= 8), "{asked:?}");
    assert!(asked.len() >= 4, "{asked:?}");
}

#[test]
fn with_no_holder_left_nothing_is_due() {
    // The only neighbour that had more has died. A decision that stays due would
    // keep the node busy for nothing.
    let mut catch_up = CatchUp::new(node(99));
    catch_up.set_registry_failed(true);
    assert!(catch_up.on_peer_offset(Time::ZERO, node(50), Offset(7), LARGE));
    assert_eq!(catch_up.choose_source(Time::ZERO, live()), None);
    assert_eq!(catch_up.wake(), Time::NEVER);
    assert!(catch_up.on_peer_offset(Time::ZERO, node(3), Offset(7), LARGE));
    assert_eq!(catch_up.choose_source(Time::ZERO, live()), Some(node(3)));
}

#[test]
fn the_registry_is_read_once_for_what_is_lacking() {
    // A neighbour tells of a change before this node's own read is answered. The
    // node waits for it, then reads once; what comes then is not asked again.
    let mut catch_up = CatchUp::new(node(99));
    let told = Time::from_millis(1_000);
    catch_up.on_peer_offset(told, node(3), Offset(7), LARGE);
    catch_up.on_peer_offset(told + LOOK, node(4), Offset(7), LARGE);
    assert_eq!(catch_up.read_at(), told + REGISTRY_GRACE);
    catch_up.on_registry_read();
    assert_eq!(catch_up.read_at(), Time::NEVER);
    catch_up.on_registry_data(told + REGISTRY_GRACE);
    assert_eq!(
        catch_up.registry_active_until(),
        told + REGISTRY_GRACE + STALL_TIMEOUT
    );
    catch_up.on_registry_end();
    assert_eq!(catch_up.registry_active_until(), Time::ZERO);
    catch_up.advance_to(Offset(7));
    catch_up.on_peer_offset(told + STALL_TIMEOUT, node(3), Offset(8), LARGE);
    assert_eq!(catch_up.read_at(), told + STALL_TIMEOUT + REGISTRY_GRACE);
}

#[test]
fn a_small_change_comes_from_the_neighbour_that_tells_of_it() {
    // One node reads the registry for all and tells of a change. Were each to
    // read it for itself, hundreds would at the same moment.
    let mut catch_up = CatchUp::new(node(99));
    catch_up.advance_to(Offset(6));
    let told = Time::from_millis(10_000);
    catch_up.on_peer_offset(told, node(3), Offset(7), 8_000);
    assert_eq!(catch_up.choose_source(told, live()), Some(node(3)));
    assert!(
        catch_up.read_at() >= told + REGISTRY_PATIENCE,
        "the registry waits"
    );
    assert!(
        catch_up.read_at() < Time::NEVER,
        "the neighbour may be lost"
    );
}
