//! The state machine itself: events in, actions out.

use super::Action;
use super::Decision;
use super::Event;
use super::RequestSpec;
use super::Shared;
use super::attempt::Attempt;
use super::attempt::State;
use super::select;
use super::timing;
use crate::config::Stage;
use crate::ids::AttemptId;
use crate::ids::EndpointId;
use crate::outcome::Reason;
use crate::time::Time;

/// The most attempts at one stage, hedges included.
pub(super) const ATTEMPTS_MAX: usize = 5;

/// One event's handling: the time, what is shared, and the actions so far.
pub(super) struct Turn<'a> {
    pub(super) now: Time,
    pub(super) shared: &'a mut Shared,
    pub(super) out: &'a mut Vec<Action>,
}

/// Owns one accepted request until its one outcome.
#[derive(Debug, Clone)]
pub struct Chain {
    pub(super) spec: RequestSpec,
    pub(super) stage: usize,
    pub(super) attempts: Vec<Attempt>,
    pub(super) tokens: u32,
    pub(super) source: Option<AttemptId>,
    pub(super) again: Option<Time>,
    /// When the wait for the slot's next owner ends, once it began.
    pub(super) until: Option<Time>,
    /// The endpoint that refused the key, until another owner was named.
    pub(super) refuser: Option<EndpointId>,
    pub(super) entered: Time,
    pub(super) finished: bool,
    started: bool,
    wake: Option<Time>,
}

impl Chain {
    /// Takes over an accepted request; nothing happens before [`Event::Start`].
    #[must_use]
    pub const fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            stage: 0,
            attempts: Vec::new(),
            tokens: 0,
            source: None,
            again: None,
            until: None,
            refuser: None,
            entered: Time::ZERO,
            finished: false,
            started: false,
            wake: None,
        }
    }

    /// Returns the request.
    #[must_use]
    pub const fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Names the endpoint that owns the key's slot now.
    ///
    /// Call it before each event: it is how a waiting chain hears of an owner.
    pub fn set_owner(&mut self, slot: Option<EndpointId>) {
        if self.refuser != slot {
            self.refuser = None;
        }
        self.spec.slot_owner = slot;
    }

    /// Returns the index of the stage that it is at.
    #[must_use]
    pub const fn stage(&self) -> usize {
        self.stage
    }

    /// Tells whether [`Action::Finish`] was given.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Takes in an event and appends what has to be done to `out`.
    pub fn on_event(
        &mut self,
        now: Time,
        event: Event,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        // Events that come after the outcome belong to attempts that were
        // dropped with it: acting on one would give the caller a second answer.
        if self.finished {
            return;
        }
        let mut turn = Turn { now, shared, out };
        self.dispatch(event, &mut turn);
        if self.started && !self.finished {
            self.check_time(&mut turn);
        }
        if self.started && !self.finished {
            self.ask_wake(&mut turn);
        }
    }

    fn dispatch(&mut self, event: Event, turn: &mut Turn<'_>) {
        match event {
            Event::Start => self.start(turn),
            Event::Sent { attempt } => self.on_sent(attempt, turn),
            Event::Chunk {
                attempt,
                index,
                tokens,
            } => self.on_chunk(attempt, index, tokens, turn),
            Event::Ended {
                attempt,
                end,
                usage,
            } => self.on_ended(attempt, &end, usage, turn),
            Event::Wake => self.wake = None,
            Event::CallerGone => self.give_up(Reason::CallerGone, None, turn),
            Event::Stop => self.give_up(Reason::Stopped, None, turn),
        }
    }

    fn start(&mut self, turn: &mut Turn<'_>) {
        if !self.started {
            self.started = true;
            self.enter(0, turn);
        }
    }

    pub(super) fn enter(&mut self, stage: usize, turn: &mut Turn<'_>) {
        self.stage = stage;
        self.entered = turn.now;
        self.tokens = 0;
        self.source = None;
        self.again = None;
        self.until = None;
        self.refuser = None;
        turn.shared.retry.earn(&self.current().pool);
        turn.shared.hedge.earn();
        self.send(turn);
    }

    pub(super) fn current(&self) -> &Stage {
        &self.spec.pipeline.stages[self.stage]
    }

    pub(super) fn is_last(&self) -> bool {
        self.stage + 1 == self.spec.pipeline.stages.len()
    }

    /// Returns the attempts at the current stage.
    pub(super) fn here(&self) -> impl Iterator<Item = &Attempt> {
        let stage = self.stage;
        self.attempts.iter().filter(move |a| a.stage == stage)
    }

    pub(super) fn open(&self) -> impl Iterator<Item = &Attempt> {
        self.here().filter(|a| a.is_open())
    }

    pub(super) fn find_open(&self, id: AttemptId) -> Option<usize> {
        self.attempts.iter().position(|a| a.id == id && a.is_open())
    }

    /// Sends a new attempt at the current stage, or gives the request up.
    pub(super) fn send(&mut self, turn: &mut Turn<'_>) {
        if turn.now >= timing::latest(turn.now, self, turn.shared) {
            self.give_up(Reason::Deadline, None, turn);
            return;
        }
        // An approval sent twice is invoiced twice. Only a proof for every
        // earlier attempt makes another one safe, whatever led here.
        let may_have_run = self.here().any(|a| a.state != State::NotRun);
        if !self.current().idempotent && may_have_run {
            self.give_up(Reason::Connection, None, turn);
            return;
        }
        match select::pick(turn.now, self, turn.shared) {
            Ok(picked) => self.send_to(picked, turn),
            Err(_) if self.open().next().is_some() => {}
            Err(reason) if self.is_ownerless(reason) => self.await_owner(reason, None, turn),
            Err(reason) => {
                let after = timing::come_back(turn.shared);
                self.give_up(reason, Some(after), turn);
            }
        }
    }

    fn send_to(&mut self, picked: select::Picked, turn: &mut Turn<'_>) {
        let id = AttemptId(self.attempts.len() as u64);
        let now = turn.now;
        let pool = &self.current().pool;
        let booking = turn.shared.fleet.book(now, pool, picked.slot);
        let limits = timing::limits(now, self, picked.predicted, turn.shared);
        turn.out.push(Action::Decision(Decision::Chosen {
            request: self.spec.request,
            stage: self.stage,
            attempt: id,
            endpoint: picked.endpoint.clone(),
            why: picked.why,
            predicted: picked.predicted,
            others: picked.others,
        }));
        turn.out.push(Action::Send {
            attempt: id,
            stage: self.stage,
            endpoint: picked.endpoint.clone(),
            remaining: timing::latest(turn.now, self, turn.shared).since(now),
            priority: timing::priority(now, self, turn.shared),
            resume_from: self.tokens,
        });
        self.attempts.push(Attempt {
            id,
            stage: self.stage,
            slot: picked.slot,
            domain: picked.domain,
            endpoint: picked.endpoint,
            booking,
            began: now,
            predicted: picked.predicted,
            nominal: picked.nominal,
            occupancy: picked.occupancy,
            state: State::Open,
            sent: false,
            first: None,
            progress: now,
            hedge: limits.hedge,
            patience: limits.patience,
        });
    }

    fn ask_wake(&mut self, turn: &mut Turn<'_>) {
        let at = timing::next_wake(turn.now, self, turn.shared);
        if self.wake != Some(at) {
            self.wake = Some(at);
            turn.out.push(Action::WakeAt(at));
        }
    }
}
