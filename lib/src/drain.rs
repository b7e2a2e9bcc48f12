//! Takes a node or an endpoint out of service without interrupting requests.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::time::Time;

/// Who requested a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Source {
    /// An operator's command.
    #[display("operator")]
    Operator,
    /// SIGTERM.
    #[display("signal")]
    Signal,
    /// The host list, which announces that the host leaves.
    #[display("host-list")]
    HostList,
}

/// The phase of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Phase {
    /// New work is accepted.
    #[display("serving")]
    Serving,
    /// New work is refused; running work is finished or moved.
    #[display("draining")]
    Draining,
    /// Nothing runs; leases and key slots are handed over.
    #[display("handing-over")]
    HandingOver,
    /// Nothing is held; calls that still arrive are refused.
    #[display("lingering")]
    Lingering,
    /// Nothing is held, and no more calls are expected.
    #[display("done")]
    Done,
}

/// What prevents a drain from completing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DrainBlockers {
    /// Requests or calls in flight.
    pub calls: usize,
    /// Caller connections on which a response is being written.
    pub connections: usize,
    /// Peers that may not know yet that new work is refused.
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

/// The delays of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSettings {
    /// The time after which work that can run elsewhere is moved.
    pub move_after: Duration,
    /// The time after which the blockers of the drain are reported.
    pub deadline: Duration,
    /// The time between two reports.
    pub report_every: Duration,
    /// How long calls are still refused before the node leaves.
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
    /// The node has released everything and leaves.
    #[display("the drain is done and the process leaves: start a new one")]
    TooLate,
}

impl DrainError {
    /// Returns whether the drain was already done.
    #[must_use]
    pub const fn is_too_late(&self) -> bool {
        matches!(self, Self::TooLate)
    }
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Refuse new work as not run, and notify peers, balancer and callers.
    Stop,
    /// Accept new work again, and announce it.
    Resume,
    /// Move running work that can resume elsewhere, without interrupting it.
    Move,
    /// Release leases and key slots to other nodes.
    HandOver,
    /// Send a goodbye message on all links.
    Goodbye,
    /// Exit with status 0.
    Exit,
    /// Log what blocks the drain.
    Report {
        /// What the node still holds.
        held: DrainBlockers,
        /// Whether the deadline has passed; it only affects reports.
        overdue: bool,
    },
}

/// The drain of one node or endpoint.
///
/// Deadlines only cause reports. Exiting at a deadline would interrupt the
/// requests that the drain protects; an operator who accepts that can kill the
/// process.
#[derive(Debug, Clone)]
pub struct Drain {
    settings: DrainSettings,
    /// The sources of the drain, and whether each wants the process to exit.
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

    /// Returns the phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the sources of the drain.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.sources.keys().copied()
    }

    fn should_exit(&self) -> bool {
        self.sources.values().any(|leave| *leave)
    }

    /// Returns the blockers of the last update.
    #[must_use]
    pub const fn blockers(&self) -> DrainBlockers {
        self.blockers
    }

    /// Returns whether new work is accepted.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Begins the drain; with `leave`, the process exits at the end.
    ///
    /// A second call, such as a second SIGTERM, neither restarts the drain nor
    /// interrupts work: it makes the next update report the blockers.
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

    /// Withdraws one source's request; service resumes when none remains.
    ///
    /// An operator's cancel withdraws the requests of all sources.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is draining, or if the node already leaves.
    pub fn cancel(&mut self, source: Source) -> Result<Vec<DrainAction>, DrainError> {
        match self.phase {
            Phase::Serving => return Err(DrainError::NotDraining),
            // After the goodbye, peers have dropped this incarnation.
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

    /// Applies the current blockers and advances as far as they allow.
    pub fn update(&mut self, now: Time, blockers: DrainBlockers) -> Vec<DrainAction> {
        self.blockers = blockers;
        self.step(now)
    }

    /// Returns the time of the next timer.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        if matches!(self.phase, Phase::Serving | Phase::Done) {
            return Time::NEVER;
        }
        let move_at = if self.moved {
            Time::NEVER
        } else {
            self.started_at + self.settings.move_after
        };
        self.next_report.min(self.linger_end).min(move_at)
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
        // A key slot may be released only when no call under it runs. Otherwise
        // the next owner would answer for a key whose effect is in progress.
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
        // A peer may have sent a call before it learned of the drain. Exiting
        // now would make its outcome unknown; lingering refuses it as not run.
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
