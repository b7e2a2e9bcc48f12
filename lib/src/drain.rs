//! Takes a node or an endpoint out of service without cutting anything off.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::time::Time;

/// Who asked for a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Source {
    /// An operator's command.
    #[display("operator")]
    Operator,
    /// SIGTERM.
    #[display("signal")]
    Signal,
    /// The host list says that the host leaves.
    #[display("host-list")]
    HostList,
}

/// Where a drain stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Phase {
    /// New work is taken.
    #[display("serving")]
    Serving,
    /// No new work is taken; what runs is finished or moved.
    #[display("draining")]
    Draining,
    /// Nothing runs; leases and key slots are handed over.
    #[display("handing-over")]
    HandingOver,
    /// Nothing is held; late senders still get their refusal.
    #[display("lingering")]
    Lingering,
    /// Nothing is held and nothing more is expected.
    #[display("done")]
    Done,
}

/// What keeps a drain from being done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DrainBlockers {
    /// Requests or calls in flight.
    pub calls: usize,
    /// Connections of callers on which an answer is being written.
    pub connections: usize,
    /// Peers that may not know yet that nothing new is taken.
    pub unaware: usize,
    /// Leases held.
    pub leases: usize,
    /// Key slots owned.
    pub slots: usize,
}

impl DrainBlockers {
    const fn has_work(&self) -> bool {
        self.calls > 0 || self.connections > 0 || self.unaware > 0
    }

    const fn has_leases(&self) -> bool {
        self.leases > 0 || self.slots > 0
    }
}

impl fmt::Display for DrainBlockers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "calls={} connections={}", self.calls, self.connections)?;
        write!(f, " unaware={} leases={}", self.unaware, self.leases)?;
        write!(f, " slots={}", self.slots)
    }
}

/// The times of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSettings {
    /// After this, work that can run elsewhere is moved.
    pub move_after: Duration,
    /// After this, what holds the drain is reported.
    pub deadline: Duration,
    /// The time between two reports.
    pub report_every: Duration,
    /// How long late senders are still refused before the node goes.
    pub linger: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            move_after: Duration::from_secs(5),
            deadline: Duration::from_secs(30),
            report_every: Duration::from_secs(10),
            linger: Duration::from_millis(500),
        }
    }
}

/// The reason why a drain can't be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum DrainError {
    /// Nothing is being drained.
    #[display("nothing is draining: there is nothing to cancel")]
    NotDraining,
    /// The node has given everything up and leaves.
    #[display("the drain is done and the process leaves: start a new one")]
    TooLate,
}

impl DrainError {
    /// Tells whether the drain had already come to its end.
    #[must_use]
    pub const fn is_too_late(&self) -> bool {
        matches!(self, Self::TooLate)
    }
}

/// Something the driver has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Refuse new work as not run, and tell peers, balancer and callers so.
    Stop,
    /// Take new work again, and tell so.
    Resume,
    /// Move what runs and can be resumed elsewhere; never cut it.
    Move,
    /// Give leases and key slots to others.
    HandOver,
    /// Say goodbye on all links.
    Goodbye,
    /// Leave with status 0.
    Exit,
    /// Log what holds the drain.
    Report {
        /// What is held.
        held: DrainBlockers,
        /// Whether the deadline has passed, which changes nothing else.
        overdue: bool,
    },
}

/// The drain of one node or endpoint.
///
/// Deadlines only report. A process that gave up at a deadline would cut off
/// the requests that the drain exists to protect, and an operator who wants
/// that can kill the process.
#[derive(Debug, Clone)]
pub struct Drain {
    settings: DrainSettings,
    /// Who asked, and whether the process is to leave for it.
    sources: BTreeMap<Source, bool>,
    phase: Phase,
    blockers: DrainBlockers,
    started_at: Time,
    moved: bool,
    next_report: Time,
    linger_end: Time,
}

impl Drain {
    /// Starts in service.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            sources: BTreeMap::new(),
            phase: Phase::Serving,
            blockers: DrainBlockers::default(),
            started_at: Time::ZERO,
            moved: false,
            next_report: Time::NEVER,
            linger_end: Time::NEVER,
        }
    }

    /// Returns where the drain stands.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns who asked for the drain.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.sources.keys().copied()
    }

    fn should_exit(&self) -> bool {
        self.sources.values().any(|leave| *leave)
    }

    /// Returns what was last known to be held.
    #[must_use]
    pub const fn blockers(&self) -> DrainBlockers {
        self.blockers
    }

    /// Tells whether new work is taken.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Begins to drain; with `leave`, the process exits at the end.
    ///
    /// A second call, such as a second SIGTERM, starts nothing anew and cuts
    /// nothing: the next update reports what holds the drain.
    pub fn begin(&mut self, now: Time, source: Source, leave: bool) -> Vec<DrainAction> {
        let was_done = self.phase == Phase::Done && !self.should_exit();
        *self.sources.entry(source).or_default() |= leave;
        if was_done && leave {
            return vec![DrainAction::Goodbye, DrainAction::Exit];
        }
        if self.phase != Phase::Serving {
            self.next_report = now;
            return Vec::new();
        }
        self.phase = Phase::Draining;
        self.started_at = now;
        self.moved = false;
        self.next_report = now + self.settings.deadline;
        vec![DrainAction::Stop]
    }

    /// Withdraws one source's wish; service resumes when no other is left.
    ///
    /// An operator's cancel withdraws all.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is draining or everything was given up.
    pub fn cancel(&mut self, source: Source) -> Result<Vec<DrainAction>, DrainError> {
        match self.phase {
            Phase::Serving => return Err(DrainError::NotDraining),
            // Goodbye was said: peers have forgotten this life.
            Phase::Done if self.should_exit() => return Err(DrainError::TooLate),
            _ => {}
        }
        if source == Source::Operator {
            self.sources.clear();
        }
        self.sources.remove(&source);
        if !self.sources.is_empty() {
            return Ok(Vec::new());
        }
        self.phase = Phase::Serving;
        self.next_report = Time::NEVER;
        self.linger_end = Time::NEVER;
        Ok(vec![DrainAction::Resume])
    }

    /// Takes in what is held now and moves on as far as that allows.
    pub fn update(&mut self, now: Time, blockers: DrainBlockers) -> Vec<DrainAction> {
        self.blockers = blockers;
        self.step(now)
    }

    /// Returns when to pass time next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        if matches!(self.phase, Phase::Serving | Phase::Done) {
            return Time::NEVER;
        }
        let moving = if self.moved {
            Time::NEVER
        } else {
            self.started_at + self.settings.move_after
        };
        self.next_report.min(self.linger_end).min(moving)
    }

    fn step(&mut self, now: Time) -> Vec<DrainAction> {
        let mut out = Vec::new();
        if self.phase == Phase::Draining {
            self.drain(now, &mut out);
        }
        if self.phase == Phase::HandingOver && !self.blockers.has_leases() {
            self.phase = Phase::Lingering;
            self.linger_end = now + self.settings.linger;
        }
        if self.phase == Phase::Lingering {
            self.linger(now, &mut out);
        }
        let waiting = !matches!(self.phase, Phase::Serving | Phase::Done);
        if waiting && now >= self.next_report {
            out.push(self.report(now));
        }
        out
    }

    fn drain(&mut self, now: Time, out: &mut Vec<DrainAction>) {
        // A key slot may go only when no call under it runs: its next owner
        // would otherwise answer for a key whose effect is still under way.
        if !self.blockers.has_work() {
            self.phase = Phase::HandingOver;
            out.push(DrainAction::HandOver);
            return;
        }
        if !self.moved && now.since(self.started_at) >= self.settings.move_after {
            self.moved = true;
            out.push(DrainAction::Move);
        }
    }

    fn linger(&mut self, now: Time, out: &mut Vec<DrainAction>) {
        // A peer may have sent before it knew; leaving now would turn its call
        // into an unknown, staying makes it a refusal with proof.
        if self.blockers.has_work() || now < self.linger_end {
            return;
        }
        self.phase = Phase::Done;
        if self.should_exit() {
            out.extend([DrainAction::Goodbye, DrainAction::Exit]);
        }
    }

    fn report(&mut self, now: Time) -> DrainAction {
        self.next_report = now + self.settings.report_every;
        DrainAction::Report {
            held: self.blockers,
            overdue: now.since(self.started_at) >= self.settings.deadline,
        }
    }
}
