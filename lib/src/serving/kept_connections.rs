//! Which connections to endpoints stay open after a response, and which calls may use them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use super::catalog::Service;
use super::directory::Entry;
use crate::ids::EndpointId;
use crate::ids::SoftwareVersion;
use crate::time::Time;

/// How much earlier than advertised by its endpoint an idle connection is closed.
///
/// The endpoint's time-out starts while the response is in transit, and the next
/// request has to arrive before its end.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// The longest time that a connection is idle.
///
/// A connection unused for longer saves few handshakes and occupies a place that other
/// nodes may need.
const IDLE_MAX: Duration = Duration::from_secs(10);

/// The maximum number of idle connections of a node.
///
/// Each holds a descriptor and a read buffer of up to 64 KiB; a small host has 120 MB.
const CONNECTIONS_MAX: usize = 256;

/// The fraction of the process's file descriptors for idle connections.
///
/// Callers use a third, and each of their requests needs one for its endpoint.
const DESCRIPTORS_FRACTION: u64 = 8;

/// The maximum number of idle connections to an endpoint without batch limits.
const PLAIN_CONNECTIONS_MAX: usize = 2;

/// The fraction of an endpoint's connections that may be idle.
const IDLE_FRACTION: usize = 2;

/// The number of handles after which a connection is closed.
///
/// A hash of each is kept to recognize repeated responses; 256 connections need 2 MiB.
const HANDLES_MAX: usize = 1_024;

/// What a connection is used for.
///
/// A late second response can then be only one of the same kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Batches of stage items.
    Batch,
    /// Releases of results.
    Release,
    /// Requests with a single response.
    Plain,
}

/// One run of an endpoint at its address.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointRun {
    /// Its name.
    pub endpoint: EndpointId,
    /// The start time reported by the endpoint.
    pub started_at: Option<u64>,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The version of its software.
    pub version: SoftwareVersion,
}

impl From<&Entry> for EndpointRun {
    fn from(entry: &Entry) -> Self {
        Self {
            endpoint: entry.id.clone(),
            started_at: entry.started_at,
            address: entry.address,
            version: entry.version.clone(),
        }
    }
}

/// The number of an idle connection; later ones have higher numbers.
pub type ConnectionNumber = u64;

/// Returns how long a connection may be idle; `None` if it is to be closed at once.
#[must_use]
pub fn idle_time(advertised: Duration) -> Option<Duration> {
    let usable = advertised.checked_sub(IDLE_MARGIN)?;
    (!usable.is_zero()).then(|| usable.min(IDLE_MAX))
}

/// Returns how many idle connections a node may have to one endpoint of a service;
/// `None` if the configuration does not limit the endpoint's connections.
#[must_use]
pub fn connections_per_run(service: &Service, nodes: usize) -> Option<usize> {
    let accepted = service.max_connections? as usize;
    let places = service
        .batching
        .as_ref()
        .map_or(PLAIN_CONNECTIONS_MAX, |limits| {
            limits.slots.saturating_add(limits.queue) as usize
        });
    let share = accepted / IDLE_FRACTION / nodes.max(1);
    Some(places.min(share).max(1))
}

/// Returns how many idle connections a node may have in total.
#[must_use]
pub fn connections_per_node(descriptors: u64) -> usize {
    let share = usize::try_from(descriptors / DESCRIPTORS_FRACTION);
    share.map_or(CONNECTIONS_MAX, |share| share.min(CONNECTIONS_MAX))
}

/// What the handles of a batch response say about the response and its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandleCheck {
    /// It belongs to the call, and the connection may be used again.
    Own,
    /// It cannot be told from a repeated one, or the connection has carried too many.
    OwnAndLast,
    /// It has a handle that was given before on this connection.
    Foreign,
}

/// The handles that were given on one connection, as hashes.
#[derive(Debug, Clone, Default)]
pub struct GivenHandles(BTreeSet<u64>);

impl GivenHandles {
    /// Records the handles of a response and returns what they say.
    pub fn check<'a>(&mut self, handles: impl Iterator<Item = &'a str>) -> HandleCheck {
        let mut count = 0;
        let mut is_new = true;
        for handle in handles {
            count += 1;
            is_new &= self.0.insert(rapidhash_v3(handle.as_bytes()));
        }
        if !is_new {
            HandleCheck::Foreign
        } else if count == 0 || self.0.len() >= HANDLES_MAX {
            HandleCheck::OwnAndLast
        } else {
            HandleCheck::Own
        }
    }
}

#[derive(Debug, Clone)]
struct Idle {
    run: EndpointRun,
    kind: CallKind,
    until: Time,
}

/// The idle connections of a node.
///
/// At most 256 are kept, so all state is bounded by them.
#[derive(Debug, Clone)]
pub struct KeptConnections {
    total_max: usize,
    next: ConnectionNumber,
    /// By number, so that the one that is idle for the longest time is the first.
    idle: BTreeMap<ConnectionNumber, Idle>,
    by_run: BTreeMap<EndpointRun, BTreeSet<(CallKind, ConnectionNumber)>>,
}

impl KeptConnections {
    /// Creates an empty pool for a process that may have this many file descriptors.
    #[must_use]
    pub fn new(descriptors: u64) -> Self {
        Self {
            total_max: connections_per_node(descriptors),
            next: 0,
            idle: BTreeMap::new(),
            by_run: BTreeMap::new(),
        }
    }

    /// Adds a connection whose response was read.
    ///
    /// Returns its number, or `None` if it is to be closed, and the connections to close
    /// for it. `run_max` is from [`connections_per_run`].
    pub fn keep(
        &mut self,
        now: Time,
        (run, kind): (&EndpointRun, CallKind),
        (advertised, run_max): (Duration, usize),
    ) -> (Option<ConnectionNumber>, Vec<ConnectionNumber>) {
        let mut closed = Vec::new();
        let (Some(time), true) = (idle_time(advertised), run_max.min(self.total_max) > 0) else {
            return (None, closed);
        };
        while let Some(oldest) = self.oldest_over(run, run_max) {
            self.remove(oldest);
            closed.push(oldest);
        }
        while self.idle.len() >= self.total_max {
            let Some((&oldest, _)) = self.idle.first_key_value() else {
                break;
            };
            self.remove(oldest);
            closed.push(oldest);
        }
        let number = self.next;
        self.next += 1;
        let idle = Idle {
            run: run.clone(),
            kind,
            until: now + time,
        };
        self.idle.insert(number, idle);
        let of_run = self.by_run.entry(run.clone()).or_default();
        of_run.insert((kind, number));
        (Some(number), closed)
    }

    /// Removes and returns the connection of a run that was used last for such a call,
    /// and those that were idle for too long and are to be closed.
    pub fn take(
        &mut self,
        now: Time,
        run: &EndpointRun,
        kind: CallKind,
    ) -> (Option<ConnectionNumber>, Vec<ConnectionNumber>) {
        let mut closed = Vec::new();
        loop {
            let of_run = self.by_run.get(run);
            let of_kind = of_run.map(|c| c.range((kind, 0)..=(kind, ConnectionNumber::MAX)));
            let newest = of_kind.and_then(|mut c| c.next_back());
            let Some(&(_, number)) = newest else {
                return (None, closed);
            };
            let until = self.idle.get(&number).map_or(Time::ZERO, |idle| idle.until);
            self.remove(number);
            if now < until {
                return (Some(number), closed);
            }
            closed.push(number);
        }
    }

    /// Removes and returns the connections of a run.
    pub fn remove_run(&mut self, run: &EndpointRun) -> Vec<ConnectionNumber> {
        let of_run = self.by_run.remove(run).unwrap_or_default();
        let numbers: Vec<_> = of_run.into_iter().map(|(_, number)| number).collect();
        for number in &numbers {
            self.idle.remove(number);
        }
        numbers
    }

    /// Removes and returns the connections that were idle for too long, and those of
    /// runs that `is_open` rejects.
    pub fn sweep(
        &mut self,
        now: Time,
        is_open: impl Fn(&EndpointRun) -> bool,
    ) -> Vec<ConnectionNumber> {
        let closed_runs = self.by_run.keys().filter(|run| !is_open(run));
        let closed_runs: BTreeSet<EndpointRun> = closed_runs.cloned().collect();
        let is_over = |(_, idle): &(_, &Idle)| idle.until <= now || closed_runs.contains(&idle.run);
        let over = self.idle.iter().filter(is_over);
        let over: Vec<ConnectionNumber> = over.map(|(&number, _)| number).collect();
        for &number in &over {
            self.remove(number);
        }
        over
    }

    /// Removes all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
        self.by_run.clear();
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Returns whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Returns the oldest connection of a run that has no room for another one.
    fn oldest_over(&self, run: &EndpointRun, run_max: usize) -> Option<ConnectionNumber> {
        let of_run = self.by_run.get(run)?;
        let is_full = of_run.len() >= run_max;
        let oldest = of_run.iter().map(|&(_, number)| number).min();
        oldest.filter(|_| is_full)
    }

    fn remove(&mut self, number: ConnectionNumber) {
        let Some(idle) = self.idle.remove(&number) else {
            return;
        };
        if let Some(of_run) = self.by_run.get_mut(&idle.run) {
            of_run.remove(&(idle.kind, number));
            if of_run.is_empty() {
                self.by_run.remove(&idle.run);
            }
        }
    }
}
