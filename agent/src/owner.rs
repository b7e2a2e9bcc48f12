//! Owns key slots through leases in the log, and gates non-idempotent calls.

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

/// The pause between two looks at what is due.
const LOOK: Duration = Duration::from_millis(100);

/// The pause between two reads while something is claimed or awaited.
const READ_SOON: Duration = Duration::from_millis(250);

/// The pause between two reads while nothing is expected.
///
/// A joining agent's seat is seen after this time at the latest. At 680 agents
/// it makes 45 reads a second in all, were every pool non-idempotent.
const READ_LATER: Duration = Duration::from_secs(15);

/// The time after a release by another agent in which its slots are looked for.
///
/// Bounded, so that a release that can't be read yet costs a few reads alone.
const SEEK: Duration = Duration::from_secs(2);

/// The time after the start in which the other agents' seats are looked for.
const START: Duration = Duration::from_secs(5);

/// The most bytes of one read.
const READ_LIMIT: Bytes = Bytes(1 << 20);

/// How long a leaving agent tries to release its leases.
const RELEASE_LIMIT: Duration = Duration::from_secs(2);

/// The slots and keys of this incarnation.
#[derive(Debug)]
pub(crate) struct Owner {
    clock: Clock,
    state: Mutex<State>,
    /// Notified whenever a call ends.
    ended: Event,
    /// Notified whenever slots are won or lost.
    moved: Event,
    /// Set when another agent of the pool is said to have given slots up.
    sought: AtomicBool,
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
    pub(crate) fn new(own: &Raw, me: LeaseHolder, term: LeaseTerm, clock: Clock) -> Self {
        let seed = me.incarnation.0;
        let share = SlotShare::new(&own.endpoint.pool, &me);
        let state = State {
            holder: LeaseManager::new(me, term, Offset(0), seed),
            share,
            gate: OnceGate::new(TableLimits::default()),
        };
        Self {
            clock,
            state: Mutex::new(state),
            ended: Event::new(),
            moved: Event::new(),
            sought: AtomicBool::new(false),
            leaving: Flag::default(),
            released: Flag::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a call.
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

    /// Checks the lease; nothing may come between this and the effect.
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

    pub(crate) fn ask(&self, key: &OnceKey) -> Verdict {
        self.state().gate.lookup(key)
    }

    /// Returns what wakes up when any call ends.
    pub(crate) fn listen(&self) -> EventListener {
        self.ended.listen()
    }

    /// Returns what wakes up when slots are won or lost.
    pub(crate) fn listen_moved(&self) -> EventListener {
        self.moved.listen()
    }

    /// Looks soon for slots that another agent gave up.
    pub(crate) fn seek(&self) {
        self.sought.store(true, Ordering::SeqCst);
    }

    /// Returns the slots that are owned at this moment.
    pub(crate) fn slots(&self) -> BTreeMap<KeySlot, FencingNumber> {
        let state = self.state();
        state.share.owned(&state.holder, self.clock.now())
    }

    fn held(&self, state: &State, key: &OnceKey) -> Option<HeldLease> {
        let lease = key.slot().lease(state.share.pool());
        state.holder.held(self.clock.now(), &lease)
    }

    /// Refuses new keys; those in the table are still answered.
    pub(crate) fn drain(&self) {
        self.state().gate.set_draining(true);
    }

    /// Gives the slots up, once nothing runs any more.
    pub(crate) async fn release(&self) {
        self.leaving.set();
        let limit = async {
            Timer::after(RELEASE_LIMIT).await;
        };
        self.released.wait().or(limit).await;
    }

    /// Keeps the leases until `stop`.
    pub(crate) async fn run(self: Arc<Self>, log: Arc<dyn LogStore>, stop: Flag) {
        let mut reader = Reader::new(self.state().holder.me().incarnation.0);
        let work = async {
            loop {
                self.turn(log.as_ref(), &mut reader).await;
                Timer::after(LOOK).await;
            }
        };
        work.or(stop.wait()).await;
    }

    async fn turn(&self, log: &dyn LogStore, reader: &mut Reader) {
        if let Some(record) = self.due() {
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
            reader.soon();
            if matches!(record.body, Body::Lease(LeaseRecord::Release { .. })) {
                self.moved.notify(usize::MAX);
            }
        }
        if self.sought.swap(false, Ordering::SeqCst) {
            reader.seek(self.clock.now());
        }
        if reader.is_due(self) {
            self.read(log, reader).await;
        }
        if self.leaving.is_set() && self.is_empty() {
            self.released.set();
        }
    }

    fn is_empty(&self) -> bool {
        let state = self.state();
        let now = self.clock.now();
        !state.holder.has_append_in_flight() && state.holder.all_held(now).next().is_none()
    }

    fn due(&self) -> Option<Record> {
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
            limit: READ_LIMIT,
        };
        metrics::counter!("snipeyoke_log_reads_total", "topic" => "leases").increment(1);
        let end = log.read(read).await;
        let now = self.clock.now();
        match end {
            ReadEnd::Records { records, end, .. } => {
                let read_to = self.take(from, &records);
                reader.answered(now, read_to < end || self.is_unsettled());
            }
            ReadEnd::Gone { first } => {
                log::warn!(target: "lease", event = "lease-behind", first = first.0, remedy = "keep the log's records for hours"; "");
                self.state().holder.reset(first);
                reader.answered(now, true);
            }
            ReadEnd::Failed => reader.failed(now),
        }
    }

    fn take(&self, from: Offset, records: &[Vec<u8>]) -> Offset {
        let mut state = self.state();
        let now = self.clock.now();
        let before = state.share.owned(&state.holder, now);
        for (offset, bytes) in (from.0..).map(Offset).zip(records) {
            // A record of another release still takes its place in the order.
            let record = Record::try_from(bytes.as_slice()).ok();
            state.holder.apply(now, offset, record.as_ref());
        }
        let after = state.share.owned(&state.holder, now);
        if before != after {
            log::info!(target: "lease", event = "slots-owned", pool = state.share.pool().as_str(), slots = after.len(), before = before.len(); "");
            metrics::gauge!("snipeyoke_slots_owned").set(after.len() as f64);
            self.moved.notify(usize::MAX);
        }
        state.holder.fold().next()
    }

    /// Tells whether news of the log is wanted soon.
    fn is_unsettled(&self) -> bool {
        let state = self.state();
        let now = self.clock.now();
        let starting = now < Time::ZERO + START;
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

/// When to read next.
#[derive(Debug)]
struct Reader {
    next: Time,
    /// Until when slots are looked for that another agent gave up.
    seeks: Time,
    backoff: Backoff,
}

impl Reader {
    fn new(seed: u64) -> Self {
        Self {
            next: Time::ZERO,
            seeks: Time::ZERO,
            backoff: Backoff::new(seed),
        }
    }

    const fn soon(&mut self) {
        self.next = Time::ZERO;
    }

    fn seek(&mut self, now: Time) {
        self.seeks = now + SEEK;
        self.soon();
    }

    fn is_due(&self, owner: &Owner) -> bool {
        owner.clock.now() >= self.next
    }

    fn answered(&mut self, now: Time, soon: bool) {
        self.backoff.succeeded();
        let soon = soon || now < self.seeks;
        self.next = now + if soon { READ_SOON } else { READ_LATER };
    }

    fn failed(&mut self, now: Time) {
        self.next = now + self.backoff.failed();
    }
}
