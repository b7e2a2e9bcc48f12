//! Owns key slots by leases in the log, and admits non-idempotent calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use event_listener::EventListener;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::FencingNumber;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::lease::HeldLease;
use snipeyoke_lib::lease::LeaseHolder;
use snipeyoke_lib::lease::LeaseManager;
use snipeyoke_lib::lease::LeaseRecord;
use snipeyoke_lib::lease::LeaseTerm;
use snipeyoke_lib::log::Append;
use snipeyoke_lib::log::Backoff;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::log::Read;
use snipeyoke_lib::log::ReadEnd;
use snipeyoke_lib::log::Topic;
use snipeyoke_lib::once::KeySlot;
use snipeyoke_lib::once::NotRun;
use snipeyoke_lib::once::OnceEnd;
use snipeyoke_lib::once::OnceGate;
use snipeyoke_lib::once::OnceKey;
use snipeyoke_lib::once::SlotShare;
use snipeyoke_lib::once::TableLimits;
use snipeyoke_lib::once::Verdict;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_runtime::flag::Flag;
use uuid::Uuid;

use crate::settings::Raw;

/// The interval for polling pending reads and lease records.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The interval of log reads while a claim or a change of owner is pending.
const READ_INTERVAL_ACTIVE: Duration = Duration::from_millis(250);

/// The interval of log reads while no change is expected.
///
/// A joining agent is noticed after this time at the latest. With 680 agents, all of
/// them in non-idempotent pools, this makes 45 reads per second in total.
const READ_INTERVAL_IDLE: Duration = Duration::from_secs(15);

/// How long to read often after another agent has released slots.
///
/// Limited, so that a release that can't be read yet costs only a few reads.
const SEEK_PERIOD: Duration = Duration::from_secs(2);

/// How long to read often after the start, to find the other agents of the pool.
const START_PERIOD: Duration = Duration::from_secs(5);

/// The maximum size of one read.
const READ_MAX: Bytes = Bytes(1 << 20);

/// How long a draining agent tries to release its leases.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The slots and keys of this incarnation.
#[derive(Debug)]
pub(crate) struct Owner {
    clock: Clock,
    state: Mutex<State>,
    /// Notified whenever a call ends.
    ended: Event,
    /// Notified whenever slots are acquired or lost.
    slots_changed: Event,
    /// Set when another agent of the pool is reported to have released slots.
    slots_freed: AtomicBool,
    leaving: Flag,
    released: Flag,
}

#[derive(Debug)]
struct State {
    holder: LeaseManager,
    share: SlotShare,
    gate: OnceGate,
}

impl Owner {
    pub(crate) fn new(own: &Raw, lease_holder: LeaseHolder, term: LeaseTerm, clock: Clock) -> Self {
        let seed = lease_holder.incarnation.0;
        let share = SlotShare::new(&own.endpoint.pool, &lease_holder);
        let state = State {
            holder: LeaseManager::new(lease_holder, term, Offset(0), seed),
            share,
            gate: OnceGate::new(TableLimits::default()),
        };
        Self {
            clock,
            state: Mutex::new(state),
            ended: Event::new(),
            slots_changed: Event::new(),
            slots_freed: AtomicBool::new(false),
            leaving: Flag::default(),
            released: Flag::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a call may run.
    pub(crate) fn admit(&self, key: &OnceKey) -> Verdict {
        let mut state = self.state();
        let held = self.held(&state, key);
        let verdict = state.gate.admit(Clock::wall(), key, held);
        if verdict == Verdict::Run {
            let lease = key.slot().lease(state.share.pool());
            state.holder.record_key(&lease, key.issued());
        }
        verdict
    }

    /// Checks the lease; must be called immediately before the effect.
    pub(crate) fn start(&self, key: &OnceKey) -> Result<(), NotRun> {
        let mut state = self.state();
        let held = self.held(&state, key);
        state.gate.start(key, held)
    }

    pub(crate) fn end(&self, key: &OnceKey, end: OnceEnd) {
        let mut state = self.state();
        state.gate.end(key, end);
        metrics::gauge!("snipeyoke_once_keys").set(state.gate.keys() as f64);
        metrics::gauge!("snipeyoke_once_bytes").set(state.gate.bytes().0 as f64);
        drop(state);
        self.ended.notify(usize::MAX);
    }

    pub(crate) fn look_up(&self, key: &OnceKey) -> Verdict {
        self.state().gate.lookup(key)
    }

    /// Returns a listener that is notified when any call ends.
    pub(crate) fn listen_ended(&self) -> EventListener {
        self.ended.listen()
    }

    /// Returns a listener that is notified when slots are acquired or lost.
    pub(crate) fn listen_slots(&self) -> EventListener {
        self.slots_changed.listen()
    }

    /// Reads the log soon, since another agent has released slots.
    pub(crate) fn on_slots_freed(&self) {
        self.slots_freed.store(true, Ordering::SeqCst);
    }

    /// Returns the slots that are owned now.
    pub(crate) fn slots(&self) -> BTreeMap<KeySlot, FencingNumber> {
        let state = self.state();
        state.share.owned(&state.holder, self.clock.now())
    }

    fn held(&self, state: &State, key: &OnceKey) -> Option<HeldLease> {
        let lease = key.slot().lease(state.share.pool());
        state.holder.held(self.clock.now(), &lease)
    }

    /// Refuses new keys; results for known keys are still returned.
    pub(crate) fn drain(&self) {
        self.state().gate.set_draining(true);
    }

    /// Releases the slots; call only when nothing runs any more.
    pub(crate) async fn release(&self) {
        self.leaving.set();
        let limit = async {
            Timer::after(RELEASE_TIMEOUT).await;
        };
        self.released.wait().or(limit).await;
    }

    /// Claims and renews the leases until `stop` is set.
    pub(crate) async fn run(self: Arc<Self>, log: Arc<dyn LogStore>, stop: Flag) {
        let mut reader = Reader::new(self.state().holder.me().incarnation.0);
        let work = async {
            loop {
                self.step(log.as_ref(), &mut reader).await;
                Timer::after(POLL_INTERVAL).await;
            }
        };
        work.or(stop.wait()).await;
    }

    async fn step(&self, log: &dyn LogStore, reader: &mut Reader) {
        if let Some(record) = self.next_record() {
            let append = Append {
                topic: Topic::leases(),
                records: vec![record.encode()],
            };
            let kind = step_name(&record);
            metrics::counter!("snipeyoke_log_appends_total", "kind" => kind).increment(1);
            let end = log.append(append).await;
            log::debug!(target: "lease", event = "lease-append", step = kind, end = format!("{end:?}").as_str(); "");
            let now = self.clock.now();
            self.state().holder.on_append_end(now, record.id, &end);
            reader.read_now();
            if matches!(record.body, Body::Lease(LeaseRecord::Release { .. })) {
                self.slots_changed.notify(usize::MAX);
            }
        }
        if self.slots_freed.swap(false, Ordering::SeqCst) {
            reader.seek(self.clock.now());
        }
        if reader.is_due(self) {
            self.read(log, reader).await;
        }
        if self.leaving.is_set() && self.is_released() {
            self.released.set();
        }
    }

    fn is_released(&self) -> bool {
        let state = self.state();
        let now = self.clock.now();
        !state.holder.has_append_in_flight() && state.holder.all_held(now).next().is_none()
    }

    fn next_record(&self) -> Option<Record> {
        let mut state = self.state();
        let State { holder, share, .. } = &mut *state;
        let now = self.clock.now();
        let wanted = if self.leaving.is_set() {
            BTreeSet::new()
        } else {
            share.wanted_leases(holder, now)
        };
        holder.set_wanted(wanted);
        holder.poll(now, Clock::wall(), RecordId(Uuid::now_v7()))
    }

    async fn read(&self, log: &dyn LogStore, reader: &mut Reader) {
        let from = self.state().holder.fold().next();
        let read = Read {
            topic: Topic::leases(),
            from,
            wait: Duration::ZERO,
            limit: READ_MAX,
        };
        metrics::counter!("snipeyoke_log_reads_total", "topic" => "leases").increment(1);
        let end = log.read(read).await;
        let now = self.clock.now();
        match end {
            ReadEnd::Records { records, end, .. } => {
                let read_to = self.apply_records(from, &records);
                reader.on_success(now, read_to < end || self.is_unsettled());
            }
            ReadEnd::Gone { first } => {
                log::warn!(target: "lease", event = "lease-behind", first = first.0, remedy = "keep the log's records for hours"; "");
                self.state().holder.reset(first);
                reader.on_success(now, true);
            }
            ReadEnd::Failed => reader.on_failure(now),
        }
    }

    fn apply_records(&self, from: Offset, records: &[Vec<u8>]) -> Offset {
        let mut state = self.state();
        let now = self.clock.now();
        let before = state.share.owned(&state.holder, now);
        for (offset, bytes) in (from.0..).map(Offset).zip(records) {
            // A record from another software version still advances the offset.
            let record = Record::try_from(bytes.as_slice()).ok();
            state.holder.apply(now, offset, record.as_ref());
        }
        let after = state.share.owned(&state.holder, now);
        if before != after {
            log::info!(target: "lease", event = "slots-owned", pool = state.share.pool().as_str(), slots = after.len(), before = before.len(); "");
            metrics::gauge!("snipeyoke_slots_owned").set(after.len() as f64);
            self.slots_changed.notify(usize::MAX);
        }
        state.holder.fold().next()
    }

    /// Returns whether changes in the log are expected soon.
    fn is_unsettled(&self) -> bool {
        let state = self.state();
        let now = self.clock.now();
        let starting = now < Time::ZERO + START_PERIOD;
        let waiting = state.holder.has_append_in_flight() || !state.holder.is_complete(now);
        starting || waiting || state.share.lacks_slots()
    }
}

fn step_name(record: &Record) -> &'static str {
    match &record.body {
        Body::Lease(LeaseRecord::Claim { .. }) => "lease-claim",
        Body::Lease(LeaseRecord::Renew { .. }) => "lease-renew",
        Body::Lease(LeaseRecord::Release { .. }) => "lease-release",
        Body::ConfigChange { .. } | Body::Snapshot(_) | Body::SnapshotPart(_) => "other",
    }
}

/// Schedules the reads of the log.
#[derive(Debug)]
struct Reader {
    next_read: Time,
    /// Until when to read often for slots that another agent has released.
    seek_until: Time,
    backoff: Backoff,
}

impl Reader {
    fn new(seed: u64) -> Self {
        Self {
            next_read: Time::ZERO,
            seek_until: Time::ZERO,
            backoff: Backoff::new(seed),
        }
    }

    const fn read_now(&mut self) {
        self.next_read = Time::ZERO;
    }

    fn seek(&mut self, now: Time) {
        self.seek_until = now + SEEK_PERIOD;
        self.read_now();
    }

    fn is_due(&self, owner: &Owner) -> bool {
        owner.clock.now() >= self.next_read
    }

    fn on_success(&mut self, now: Time, soon: bool) {
        self.backoff.succeeded();
        let soon = soon || now < self.seek_until;
        self.next_read = now
            + if soon {
                READ_INTERVAL_ACTIVE
            } else {
                READ_INTERVAL_IDLE
            };
    }

    fn on_failure(&mut self, now: Time) {
        self.next_read = now + self.backoff.failed();
    }
}
