//! The connections of callers: which of them keep their places and the memory of their
//! requests when either runs out.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::time::Time;
use crate::units::Bytes;

/// The time without progress after which a connection may lose its place or its memory
/// to another.
///
/// The rest of a head or body that was sent at once arrives sooner, also from a mobile
/// client.
const STALL_TIME: Duration = Duration::from_millis(250);

/// The time that a body may take to arrive before it may lose its memory to another.
///
/// Callers send bodies at once, and few wait for a response much longer than this.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// The time for which a caller may read nothing of a long response before its connection
/// may lose its place or its memory to another.
///
/// A caller that is out of reach for a moment reads on sooner.
const UNREAD_TIME: Duration = Duration::from_secs(2);

/// The size up to which a body may use all memory for requests, in bytes.
const SMALL_BODY_BYTES: u64 = 128 << 10;

/// Larger bodies leave one part in this many to small ones.
const SMALL_BODIES_PART: u64 = 4;

/// The fraction of the process's memory for connections and their requests.
///
/// The rest is for what the process knows and for what it sends.
const CALLERS_FRACTION: f64 = 0.6;

/// The fraction of the process's memory that connections may have at most.
const CONNECTIONS_FRACTION: f64 = 0.33;

/// One in this many connections finds a place whatever requests hold.
const RESERVED_PLACES_PART: usize = 4;

/// What a connection needs beside the head that it reads, in bytes: its buffers and
/// its task.
const CONNECTION_BYTES: u64 = 32 << 10;

/// The number of a connection; later ones have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub struct ConnectionId(u64);

/// What the connections of callers may use together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConnectionLimits {
    /// The maximum number of connections.
    pub count: usize,
    /// The memory for connections and their requests.
    pub memory: Bytes,
    /// The memory of a connection without a request.
    pub connection: Bytes,
}

impl ConnectionLimits {
    /// Returns the limits of a process with some memory that accepts at most `count`
    /// connections, whose requests have headers of at most `header_max`.
    #[must_use]
    pub fn new(memory: Bytes, count: usize, header_max: Bytes) -> Self {
        let total = memory.0 as f64;
        let connection = CONNECTION_BYTES + header_max.0;
        let affordable = total * CONNECTIONS_FRACTION / connection as f64;
        Self {
            count: count.min(affordable as usize).max(1),
            memory: Bytes((total * CALLERS_FRACTION) as u64),
            connection: Bytes(connection),
        }
    }

    /// Returns the memory for requests beside `count` connections.
    fn for_requests(&self, count: usize) -> u64 {
        let count = count.max(self.reserved_places());
        let connections = self.connection.0.saturating_mul(count as u64);
        self.memory.0.saturating_sub(connections)
    }

    const fn reserved_places(&self) -> usize {
        self.count / RESERVED_PLACES_PART
    }
}

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The first request.
    New,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The response to its request.
    Running,
    /// The caller to read the rest of a long response.
    Responding,
    /// The next request.
    Idle,
    /// The caller to close it.
    Closing,
}

/// No connection may be closed for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("all connections have requests in progress: accept no further one")]
pub struct NoPlace;

/// No request may be given up for the memory of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the memory for requests is in use: send the request again later")]
pub struct NoMemory;

#[derive(Debug)]
struct Connection {
    state: ConnectionState,
    /// When the state began.
    since: Time,
    /// When the last bytes of a body arrived, or of a response were taken.
    progress: Time,
    /// The bytes that its request holds.
    held: u64,
}

impl Connection {
    const fn is_headless(&self) -> bool {
        matches!(self.state, ConnectionState::New | ConnectionState::Head)
    }

    /// Returns whether its caller keeps others waiting: a head or body arrives slowly, or
    /// a response is not read.
    fn is_slow(&self, now: Time) -> bool {
        let unchanged = now.since(self.progress);
        match self.state {
            ConnectionState::New | ConnectionState::Head | ConnectionState::Body => {
                unchanged >= STALL_TIME || now.since(self.since) >= ARRIVAL_TIME
            }
            ConnectionState::Responding => unchanged >= UNREAD_TIME,
            ConnectionState::Running | ConnectionState::Idle | ConnectionState::Closing => false,
        }
    }
}

/// All connections of callers of a process.
#[derive(Debug)]
pub struct CallerConnections {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next: u64,
    held: u64,
}

impl CallerConnections {
    /// Creates a table without connections.
    #[must_use]
    pub const fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next: 0,
            held: 0,
        }
    }

    /// Sets other limits; connections and requests beyond them stay.
    pub const fn set_limits(&mut self, limits: ConnectionLimits) {
        self.limits = limits;
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the memory that requests hold.
    #[must_use]
    pub const fn held(&self) -> Bytes {
        Bytes(self.held)
    }

    /// Adds a connection; returns it and the one to close for it.
    ///
    /// The first to close are those that are closing anyway, then those whose heads do
    /// not arrive, or the oldest of these if most connections wait for heads; then those
    /// whose bodies do not arrive or whose responses are not read; then those between two
    /// requests, on which a caller may just be sending.
    ///
    /// # Errors
    ///
    /// Returns [`NoPlace`] if there is no place, and no connection may be closed.
    pub fn open(&mut self, now: Time) -> Result<(ConnectionId, Option<ConnectionId>), NoPlace> {
        let evicted = if self.has_place() {
            None
        } else {
            Some(self.least_promising(now).ok_or(NoPlace)?)
        };
        if let Some(evicted) = evicted {
            self.close(evicted);
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection = Connection {
            state: ConnectionState::New,
            since: now,
            progress: now,
            held: 0,
        };
        self.connections.insert(id, connection);
        Ok((id, evicted))
    }

    /// Records that a connection waits for something else.
    pub fn set_state(&mut self, now: Time, id: ConnectionId, state: ConnectionState) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = state;
            connection.since = now;
            connection.progress = now;
        }
    }

    /// Records that more of a request has arrived, or more of a response was taken.
    pub fn record_progress(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress = now;
        }
    }

    /// Returns whether a request with a body of `length` bytes can get its memory now.
    ///
    /// `body_max` is the largest body that callers may send.
    #[must_use]
    pub fn has_memory(&self, now: Time, id: ConnectionId, length: u64, body_max: u64) -> bool {
        let missing = self.missing(id, length, body_max);
        missing == 0 || missing <= self.slow(now, id).map(|(_, c)| c.held).sum()
    }

    /// Grants a request `bytes` of memory in total; returns the requests to give up for
    /// it, whose memory is free from now on.
    ///
    /// These are bodies that arrive slowly and responses that are not read, the oldest
    /// first. A body never waits for the memory of another, so no two wait for each other.
    /// One of `body_max` bytes, the largest that callers may send, is always granted its
    /// memory if it is alone.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is no memory, or if the request was given up.
    pub fn hold(
        &mut self,
        now: Time,
        id: ConnectionId,
        bytes: u64,
        body_max: u64,
    ) -> Result<Vec<ConnectionId>, NoMemory> {
        if !self.connections.contains_key(&id) || !self.has_memory(now, id, bytes, body_max) {
            return Err(NoMemory);
        }
        let mut evicted = Vec::new();
        while self.missing(id, bytes, body_max) > 0 {
            let oldest = self.slow(now, id).min_by_key(|(id, c)| (c.since, **id));
            let Some((&oldest, _)) = oldest else {
                break;
            };
            evicted.push(oldest);
            self.close(oldest);
        }
        self.resize(id, bytes);
        self.record_progress(now, id);
        Ok(evicted)
    }

    /// Records that a request holds no more than `bytes`.
    pub fn shrink(&mut self, id: ConnectionId, bytes: u64) {
        if self.connections.get(&id).is_some_and(|c| c.held > bytes) {
            self.resize(id, bytes);
        }
    }

    /// Removes a connection with its memory.
    pub fn close(&mut self, id: ConnectionId) {
        self.resize(id, 0);
        self.connections.remove(&id);
    }

    fn has_place(&self) -> bool {
        let count = self.connections.len();
        let is_reserved = count < self.limits.reserved_places();
        count < self.limits.count
            && (is_reserved || self.limits.for_requests(count + 1) >= self.held)
    }

    /// Returns the bytes to be freed for a request that is to hold `bytes`.
    fn missing(&self, id: ConnectionId, bytes: u64, body_max: u64) -> u64 {
        let for_large = body_max.saturating_add(body_max / (SMALL_BODIES_PART - 1));
        let for_requests = self.limits.for_requests(self.connections.len());
        let total = for_requests.max(for_large);
        let usable = if bytes > SMALL_BODY_BYTES {
            total - total / SMALL_BODIES_PART
        } else {
            total
        };
        let own = self.connections.get(&id).map_or(0, |c| c.held);
        let needed = (self.held - own).saturating_add(bytes);
        needed.saturating_sub(usable)
    }

    /// Returns the requests that hold memory and keep others waiting, but for that of `id`.
    fn slow(
        &self,
        now: Time,
        id: ConnectionId,
    ) -> impl Iterator<Item = (&ConnectionId, &Connection)> {
        self.connections.iter().filter(move |&(&other, c)| {
            let may_yield = matches!(c.state, ConnectionState::Body | ConnectionState::Responding);
            other != id && may_yield && c.held > 0 && c.is_slow(now)
        })
    }

    /// Returns the connection to close for a new one.
    fn least_promising(&self, now: Time) -> Option<ConnectionId> {
        let headless = self.connections.values().filter(|c| c.is_headless());
        // Few of these must not displace each other before their heads can arrive.
        let are_many = headless.count() > self.limits.count / 2;
        let rank = |c: &Connection| match c.state {
            ConnectionState::Closing => Some(0),
            _ if c.is_headless() && (are_many || c.is_slow(now)) => Some(1),
            _ if c.is_slow(now) => Some(2),
            ConnectionState::Idle => Some(3),
            _ => None,
        };
        let candidates = self.connections.iter();
        let ranked = candidates.filter_map(|(&id, c)| Some((rank(c)?, c.since, id)));
        ranked.min().map(|(_, _, id)| id)
    }

    fn resize(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held = self.held - connection.held + bytes;
            connection.held = bytes;
        }
    }
}
