//! Places and memory of callers' connections when either runs out.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use snipeyoke_lib::serving::caller_connections::CallerConnections;
use snipeyoke_lib::serving::caller_connections::ConnectionId;
use snipeyoke_lib::serving::caller_connections::ConnectionLimits;
use snipeyoke_lib::serving::caller_connections::ConnectionState;
use snipeyoke_lib::serving::caller_connections::NoMemory;
use snipeyoke_lib::serving::caller_connections::NoPlace;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;

use crate::schedules::Dice;
use crate::schedules::run_seeds;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

const fn table(count: usize, mib: u64) -> CallerConnections {
    CallerConnections::new(ConnectionLimits {
        count,
        memory: Bytes(mib * MIB),
        connection: Bytes(0),
    })
}

fn open_body(table: &mut CallerConnections, now: u64, bytes: u64) -> ConnectionId {
    let (id, _) = table.open(at(now)).expect("there is a place");
    table.set_state(at(now), id, ConnectionState::Body);
    table
        .hold(at(now), id, bytes, MIB)
        .expect("there is memory");
    id
}

#[test]
fn a_caller_is_accepted_beside_connections_that_finish_nothing() {
    // Guards against callers refused because others hold all places.
    let mut table = table(3, 1);
    let (head, _) = table.open(at(0)).expect("a place");
    table.set_state(at(5), head, ConnectionState::Head);
    let (running, _) = table.open(at(1)).expect("a place");
    table.set_state(at(1), running, ConnectionState::Running);
    let (idle, _) = table.open(at(2)).expect("a place");
    table.set_state(at(2), idle, ConnectionState::Idle);
    let (newcomer, evicted) = table.open(at(1_000)).expect("a place");
    assert_eq!(
        evicted,
        Some(head),
        "a head that does not arrive goes first"
    );
    table.set_state(at(1_000), newcomer, ConnectionState::Running);
    let (newcomer, evicted) = table.open(at(1_001)).expect("a place");
    assert_eq!(evicted, Some(idle));
    assert_eq!(table.open(at(1_002)), Err(NoPlace), "it may be sending");
    table.set_state(at(1_002), newcomer, ConnectionState::Running);
    assert_eq!(table.open(at(9_000)), Err(NoPlace), "all have requests");
    assert_eq!(table.len(), 3);
}

#[test]
fn a_caller_is_accepted_beside_a_crowd_that_just_connected() {
    // Guards against callers refused for as long as others connect and send nothing.
    let mut table = table(4, 1);
    let (idle, _) = table.open(at(0)).expect("a place");
    table.set_state(at(0), idle, ConnectionState::Idle);
    let crowd: Vec<_> = (1..4)
        .map(|n| table.open(at(n)).expect("a place").0)
        .collect();
    let (_, evicted) = table.open(at(4)).expect("a place");
    assert_eq!(
        evicted,
        Some(crowd[0]),
        "the oldest, before one that is idle"
    );
}

#[test]
fn bodies_that_stopped_give_their_memory_to_others() {
    // Guards against memory kept for bodies that stop short of their end.
    let mut table = table(100, 8);
    let stopped: Vec<_> = (0..6).map(|n| open_body(&mut table, n, MIB)).collect();
    let (id, _) = table.open(at(100)).expect("a place");
    assert_eq!(table.hold(at(100), id, MIB, MIB), Err(NoMemory));
    assert!(!table.has_memory(at(100), id, MIB, MIB));
    assert!(table.has_memory(at(1_000), id, MIB, MIB));
    let evicted = table.hold(at(1_000), id, MIB, MIB);
    assert_eq!(evicted, Ok(vec![stopped[0]]), "the oldest, and no more");
    assert_eq!(table.held(), Bytes(6 * MIB));
    let late = table.hold(at(1_000), stopped[0], MIB, MIB);
    assert_eq!(late, Err(NoMemory), "it was given up");
}

#[test]
fn large_bodies_leave_memory_to_small_ones() {
    // Guards against small requests refused because large ones hold all memory.
    let mut table = table(100, 8);
    for n in 0..6 {
        open_body(&mut table, n, MIB);
    }
    let (large, _) = table.open(at(10)).expect("a place");
    assert_eq!(table.hold(at(10), large, 200 * KIB, MIB), Err(NoMemory));
    for _ in 0..16 {
        let (small, _) = table.open(at(10)).expect("a place");
        assert_matches!(table.hold(at(10), small, 128 * KIB, MIB), Ok(evicted) if evicted.is_empty());
    }
}

#[test]
fn complete_requests_keep_their_memory() {
    // Guards against a request given up although its endpoint may be running it.
    let mut table = table(100, 4);
    let running = open_body(&mut table, 0, 3 * MIB);
    table.set_state(at(1), running, ConnectionState::Running);
    let (id, _) = table.open(at(9_000)).expect("a place");
    assert_eq!(table.hold(at(9_000), id, MIB, MIB), Err(NoMemory));
    table.shrink(running, 0);
    assert_matches!(table.hold(at(9_000), id, MIB, MIB), Ok(_));
}

#[test]
fn responses_that_are_not_read_give_their_memory_up() {
    // Guards against memory kept for callers who read nothing of long responses.
    let mut table = table(100, 4);
    let read = open_body(&mut table, 0, MIB);
    let unread = open_body(&mut table, 1, 2 * MIB);
    for id in [read, unread] {
        table.set_state(at(10), id, ConnectionState::Responding);
    }
    table.record_progress(at(2_900), read);
    let (id, _) = table.open(at(3_000)).expect("a place");
    assert_eq!(table.hold(at(3_000), id, MIB, MIB), Ok(vec![unread]));
}

#[test]
fn a_slow_trickle_gives_its_memory_up() {
    // Guards against bodies that arrive a byte at a time to keep their memory.
    let mut table = table(100, 4);
    let slow = open_body(&mut table, 0, 3 * MIB);
    for now in (100..3_000).step_by(100) {
        assert_matches!(table.hold(at(now), slow, 3 * MIB, MIB), Ok(_));
    }
    let (id, _) = table.open(at(3_000)).expect("a place");
    assert_eq!(table.hold(at(3_000), id, MIB, MIB), Ok(vec![slow]));
}

#[test]
fn connections_and_requests_share_their_memory() {
    // Guards against memory that is used up by connections and requests together, though
    // neither is beyond its limit.
    let mut table = CallerConnections::new(ConnectionLimits {
        count: 8,
        memory: Bytes(8 * MIB),
        connection: Bytes(MIB / 2),
    });
    let (id, _) = table.open(at(0)).expect("a place");
    table.set_state(at(0), id, ConnectionState::Running);
    assert_eq!(table.hold(at(0), id, 6 * MIB, MIB), Err(NoMemory));
    assert_matches!(table.hold(at(0), id, 5 * MIB, MIB), Ok(_));
    for now in 1..6 {
        let (id, evicted) = table.open(at(now)).expect("a place");
        assert_eq!(evicted, None);
        table.set_state(at(now), id, ConnectionState::Running);
    }
    assert_eq!(
        table.open(at(6)),
        Err(NoPlace),
        "the request has the memory"
    );
    table.shrink(id, MIB);
    assert_matches!(table.open(at(7)), Ok((_, None)));
}

#[test]
fn limits_follow_the_memory() {
    let limits = |mb: u64| ConnectionLimits::new(Bytes(mb * 1_000_000), 1_300, Bytes(16 * KIB));
    assert_eq!(limits(512).count, 1_300);
    assert!(limits(120).count < 1_300);
    assert_eq!(limits(120).memory, Bytes(72_000_000));
    assert_eq!(limits(0).count, 1);
}

const STATES: [ConnectionState; 7] = [
    ConnectionState::New,
    ConnectionState::Head,
    ConnectionState::Body,
    ConnectionState::Running,
    ConnectionState::Responding,
    ConnectionState::Idle,
    ConnectionState::Closing,
];

/// Random steps keep true that no place or memory is granted beyond the limits or counted
/// twice, that a body alone fits, and that nothing is taken from a complete request.
fn run(seed: u64) {
    let mut dice = Dice(seed);
    let limits = ConnectionLimits {
        count: 8,
        memory: Bytes(6 * MIB),
        connection: Bytes(MIB / 4),
    };
    let mut table = CallerConnections::new(limits);
    let mut model: BTreeMap<ConnectionId, (ConnectionState, u64)> = BTreeMap::new();
    let mut now = 0;
    for _ in 0..200 {
        now += dice.roll(400);
        let index = dice.roll(model.len().max(1) as u64) as usize;
        let picked = model.keys().nth(index).copied();
        match (dice.roll(10), picked) {
            (0..3, _) | (_, None) => {
                if let Ok((id, evicted)) = table.open(at(now)) {
                    let lost = evicted.and_then(|evicted| model.remove(&evicted));
                    assert!(!lost.is_some_and(|(s, _)| s == ConnectionState::Running));
                    model.insert(id, (ConnectionState::New, 0));
                }
            }
            (3..6, Some(id)) => {
                let state = STATES[dice.roll(7) as usize];
                table.set_state(at(now), id, state);
                model.get_mut(&id).expect("it is open").0 = state;
            }
            (6..8, Some(id)) => {
                let bytes = dice.roll(2 * MIB);
                let others = model.iter().filter(|(other, _)| **other != id);
                let others: u64 = others.map(|(_, (_, held))| held).sum();
                if let Ok(evicted) = table.hold(at(now), id, bytes, MIB) {
                    for lost in evicted {
                        let (state, _) = model.remove(&lost).expect("it is open");
                        assert_matches!(state, ConnectionState::Body | ConnectionState::Responding);
                    }
                    model.get_mut(&id).expect("it is open").1 = bytes;
                } else {
                    assert!(others > 0, "alone, it fits");
                }
            }
            (8, Some(id)) => {
                let bytes = dice.roll(MIB);
                table.shrink(id, bytes);
                let held = &mut model.get_mut(&id).expect("it is open").1;
                *held = bytes.min(*held);
            }
            (_, Some(id)) => {
                table.close(id);
                table.close(id);
                model.remove(&id);
            }
        }
        assert_eq!(table.held(), Bytes(model.values().map(|c| c.1).sum()));
        let connections = (table.len().max(2) as u64) * MIB / 4;
        let for_large = MIB + MIB / 3;
        assert!(table.held() <= Bytes((6 * MIB - connections).max(for_large)));
        assert_eq!(table.len(), model.len());
        assert!(table.len() <= 8);
    }
}

#[test]
fn random_steps_never_pass_the_limits() {
    run_seeds(256, &run);
}
