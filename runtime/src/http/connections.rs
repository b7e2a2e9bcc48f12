//! The open connections of a server, and the memory of their requests.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Incoming;
use snipeyoke_lib::serving::caller_connections::CallerConnections;
use snipeyoke_lib::serving::caller_connections::ConnectionId;
use snipeyoke_lib::serving::caller_connections::ConnectionLimits;
use snipeyoke_lib::serving::caller_connections::ConnectionState;
use snipeyoke_lib::serving::caller_connections::NoPlace;
use snipeyoke_lib::time::Time;

use super::body::BodyError;
use crate::clock::Clock;
use crate::flag::Flag;

/// The least size of a buffer for a body, in bytes.
const BUFFER_MIN_BYTES: usize = 4 << 10;

/// The most by which a buffer for a body grows at once, in bytes.
const BUFFER_STEP_BYTES: usize = 256 << 10;

/// The number of headers that a request may have before they count as memory.
const FREE_HEADERS: usize = 100;

/// What a header holds beside its text, here and in the call to the endpoint, in bytes.
const HEADER_BYTES: usize = 512;

/// The open connections of a server.
#[derive(Debug)]
pub(super) struct Connections {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: CallerConnections,
    open: BTreeMap<ConnectionId, Open>,
    /// What the metric has of this server, as all servers of a process add to it.
    recorded: f64,
}

#[derive(Debug)]
struct Open {
    evicted: Flag,
    /// The part of a request's body that has arrived.
    body: Vec<u8>,
}

impl State {
    fn evict(&mut self, id: ConnectionId) {
        if let Some(open) = self.open.remove(&id) {
            open.evicted.set();
        }
    }

    fn hold(
        &mut self,
        now: Time,
        id: ConnectionId,
        bytes: usize,
        max: usize,
    ) -> Result<(), BodyError> {
        let granted = self.table.hold(now, id, bytes as u64, max as u64);
        let Ok(evicted) = granted else {
            return Err(BodyError::NoMemory);
        };
        for id in evicted {
            self.evict(id);
        }
        self.record_memory();
        Ok(())
    }

    fn record_memory(&mut self) {
        let held = self.table.held().0 as f64;
        let change = held - self.recorded;
        if change.abs() >= 1.0 {
            metrics::gauge!("snipeyoke_request_memory_bytes").increment(change);
            self.recorded = held;
        }
    }
}

impl Connections {
    pub(super) fn new(limits: ConnectionLimits) -> Self {
        Self {
            clock: Clock::start(),
            state: Mutex::new(State {
                table: CallerConnections::new(limits),
                open: BTreeMap::new(),
                recorded: 0.0,
            }),
        }
    }

    pub(super) fn set_limits(&self, limits: ConnectionLimits) {
        self.lock().table.set_limits(limits);
    }

    /// Adds a connection, which may close another.
    ///
    /// # Errors
    ///
    /// Returns [`NoPlace`] if no other may be closed.
    pub(super) fn open(self: &Arc<Self>) -> Result<CallerConnection, NoPlace> {
        let mut state = self.lock();
        let (id, evicted) = state.table.open(self.clock.now())?;
        if let Some(evicted) = evicted {
            metrics::counter!("snipeyoke_conns_evicted_total").increment(1);
            state.evict(evicted);
        }
        let evicted = Flag::default();
        let open = Open {
            evicted: evicted.clone(),
            body: Vec::new(),
        };
        state.open.insert(id, open);
        drop(state);
        Ok(CallerConnection {
            id,
            connections: Arc::clone(self),
            evicted,
            is_waiting: AtomicBool::new(true),
            has_request: AtomicBool::new(false),
            is_responding: AtomicBool::new(false),
            awaits_body: AtomicBool::new(false),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection of a caller; dropping it frees its place.
#[derive(Debug)]
pub struct CallerConnection {
    id: ConnectionId,
    connections: Arc<Connections>,
    evicted: Flag,
    /// Whether no byte of the next request has arrived.
    is_waiting: AtomicBool,
    has_request: AtomicBool,
    /// Whether a long response is being sent.
    is_responding: AtomicBool,
    /// Whether a body has not been read to its end.
    awaits_body: AtomicBool,
}

impl CallerConnection {
    /// Reads the body of the connection's request within the memory for requests, in
    /// which the request's headers count, too, if they are many.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if it has more than `max` bytes, if its connection fails, or
    /// if there is no memory for it. A body that arrives slowly loses its memory to others.
    pub async fn receive(
        self: &Arc<Self>,
        headers: &HeaderMap,
        mut body: Incoming,
        max: usize,
    ) -> Result<HeldBody, BodyError> {
        let declared = body.size_hint().exact().map(|n| n as usize);
        if declared.is_some_and(|n| n > max) {
            return Err(BodyError::TooLarge { max });
        }
        let header_bytes = headers.len().saturating_sub(FREE_HEADERS) * HEADER_BYTES;
        self.check_memory(
            header_bytes + declared.unwrap_or_default(),
            header_bytes + max,
        )?;
        self.hold(header_bytes, header_bytes + max)?;
        let mut evicted = pin!(self.evicted.wait());
        loop {
            let frame = async { Some(body.frame().await) };
            let given_up = async {
                evicted.as_mut().await;
                None
            };
            let frame = frame.or(given_up).await.ok_or(BodyError::NoMemory)?;
            let Some(frame) = frame else {
                return self.finish_body(header_bytes, header_bytes + max);
            };
            if let Ok(data) = frame.map_err(BodyError::Connection)?.into_data() {
                self.append(&data, header_bytes, (declared.unwrap_or(max), max))?;
            }
        }
    }

    /// Waits until the connection is to be closed for another.
    pub(super) async fn evicted(&self) {
        self.evicted.wait().await;
    }

    /// Returns whether the connection has a request to which a response can still be sent.
    pub(super) fn can_respond(&self) -> bool {
        self.has_request.load(Ordering::SeqCst) && !self.is_responding.load(Ordering::SeqCst)
    }

    /// Records that the head of a request is complete.
    pub(super) fn begin_request(&self, has_body: bool) {
        self.is_waiting.store(false, Ordering::SeqCst);
        self.has_request.store(true, Ordering::SeqCst);
        self.awaits_body.store(has_body, Ordering::SeqCst);
        self.set_state(if has_body {
            ConnectionState::Body
        } else {
            ConnectionState::Running
        });
    }

    /// Records that the response has been sent.
    pub(super) fn end_request(&self) {
        self.set_state(ConnectionState::Idle);
        self.has_request.store(false, Ordering::SeqCst);
        self.is_responding.store(false, Ordering::SeqCst);
        self.is_waiting.store(true, Ordering::SeqCst);
    }

    /// Records that bytes have arrived.
    pub(super) fn begin_head(&self) {
        if self.is_waiting.swap(false, Ordering::SeqCst) {
            self.set_state(ConnectionState::Head);
        }
    }

    /// Returns whether the body of the last request was not read to its end.
    pub(super) fn is_unread(&self) -> bool {
        self.awaits_body.load(Ordering::SeqCst)
    }

    /// Records that the connection waits for its caller to close it.
    pub(super) fn begin_close(&self) {
        self.set_state(ConnectionState::Closing);
    }

    fn set_state(&self, next: ConnectionState) {
        let now = self.connections.clock.now();
        self.connections.lock().table.set_state(now, self.id, next);
    }

    fn check_memory(&self, length: usize, max: usize) -> Result<(), BodyError> {
        let now = self.connections.clock.now();
        let state = self.connections.lock();
        let has_memory = state
            .table
            .has_memory(now, self.id, length as u64, max as u64);
        has_memory.then_some(()).ok_or(BodyError::NoMemory)
    }

    /// Makes the request hold `bytes` in total, which others may have to give up.
    fn hold(&self, bytes: usize, max: usize) -> Result<(), BodyError> {
        let now = self.connections.clock.now();
        self.connections.lock().hold(now, self.id, bytes, max)
    }

    fn append(
        &self,
        data: &[u8],
        header_bytes: usize,
        (expected, max): (usize, usize),
    ) -> Result<(), BodyError> {
        let now = self.connections.clock.now();
        let mut state = self.connections.lock();
        let (length, capacity) = {
            let buffer = &state.open.get(&self.id).ok_or(BodyError::NoMemory)?.body;
            (buffer.len() + data.len(), buffer.capacity())
        };
        if length > max {
            return Err(BodyError::TooLarge { max });
        }
        let grown = grown_capacity(capacity, length, expected);
        if grown > capacity {
            state.hold(now, self.id, header_bytes + grown, header_bytes + max)?;
        }
        state.table.record_progress(now, self.id);
        let open = state.open.get_mut(&self.id).ok_or(BodyError::NoMemory)?;
        open.body.reserve_exact(grown - open.body.len());
        open.body.extend_from_slice(data);
        Ok(())
    }

    fn finish_body(
        self: &Arc<Self>,
        header_bytes: usize,
        max: usize,
    ) -> Result<HeldBody, BodyError> {
        let now = self.connections.clock.now();
        let mut state = self.connections.lock();
        let open = state.open.get_mut(&self.id).ok_or(BodyError::NoMemory)?;
        let mut body = std::mem::take(&mut open.body);
        body.shrink_to_fit();
        let held = header_bytes + body.len();
        state.table.shrink(self.id, held as u64);
        state
            .table
            .set_state(now, self.id, ConnectionState::Running);
        drop(state);
        Ok(HeldBody {
            bytes: Bytes::from(body),
            memory: HeldMemory {
                connection: Arc::clone(self),
                held,
                max,
            },
        })
    }

    fn free_memory(&self) {
        let mut state = self.connections.lock();
        state.table.shrink(self.id, 0);
        state.record_memory();
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.table.close(self.id);
        state.open.remove(&self.id);
        state.record_memory();
    }
}

/// Returns the capacity of a buffer that is to hold `length` bytes of the `expected`.
fn grown_capacity(capacity: usize, length: usize, expected: usize) -> usize {
    if length <= capacity {
        return capacity;
    }
    let step = capacity.clamp(BUFFER_MIN_BYTES, BUFFER_STEP_BYTES);
    let grown = capacity.saturating_add(step);
    grown.min(expected).max(length)
}

/// A body that was read, and its part of the memory for requests.
#[derive(Debug)]
pub struct HeldBody {
    /// The whole body.
    pub bytes: Bytes,
    /// To be kept for as long as the bytes.
    pub memory: HeldMemory,
}

/// A part of the memory for requests, which is free when this is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    connection: Arc<CallerConnection>,
    /// What the request holds, without its response, in bytes.
    held: usize,
    max: usize,
}

impl HeldMemory {
    /// Grants memory for `bytes` of a long response in total.
    ///
    /// From now on, the connection may be closed for others while its caller reads
    /// nothing.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::NoMemory`] if there is none.
    pub fn hold_response(&self, bytes: usize) -> Result<(), BodyError> {
        let connection = &self.connection;
        connection.hold(self.held + bytes, self.max.max(self.held + bytes))?;
        if !connection.is_responding.swap(true, Ordering::SeqCst) {
            connection.set_state(ConnectionState::Responding);
        }
        Ok(())
    }

    /// Grants memory for `bytes` in total beside the request's body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::NoMemory`] if there is none.
    pub fn hold_beside(&self, bytes: usize) -> Result<(), BodyError> {
        let connection = &self.connection;
        let total = self.held + bytes;
        connection.hold(total, self.max.max(total))
    }

    /// Gives back what the request holds beside its body, but for `bytes`.
    pub fn shrink_beside(&self, bytes: usize) {
        let connection = &self.connection;
        let mut state = connection.connections.lock();
        let total = self.held + bytes;
        state.table.shrink(connection.id, total as u64);
        state.record_memory();
    }

    /// Records that the caller has taken more of the response.
    pub fn record_progress(&self) {
        let connections = &self.connection.connections;
        let now = connections.clock.now();
        connections
            .lock()
            .table
            .record_progress(now, self.connection.id);
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.connection.free_memory();
    }
}

/// Ends a request when its response has been sent or abandoned.
pub(super) struct RequestGuard(pub(super) Arc<CallerConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
