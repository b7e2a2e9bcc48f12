//! Prefix blocks in limited memory, and the events that tell of them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// The events kept for readers that lag.
const EVENTS_KEPT: usize = 8_192;

/// The most events in one answer.
const EVENTS_PAGE: usize = 1_024;

/// What became of a block.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Event {
    op: &'static str,
    block: String,
}

/// Events from a number on, as `GET /cache/events` gives them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Page {
    epoch: u64,
    first: u64,
    next: u64,
    gap: bool,
    events: Vec<Event>,
}

impl Page {
    /// Tells whether there is anything new in it.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.events.is_empty() && !self.gap
    }
}

/// The least recently used blocks leave first.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    lag: Duration,
    loss: f64,
    rng: Pcg64Mcg,
    epoch: u64,
    clock: u64,
    used: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    first: u64,
    events: VecDeque<(Instant, Option<Event>)>,
}

impl Cache {
    /// Builds an empty cache.
    #[must_use]
    pub fn new(capacity: usize, lag: Duration, loss: f64, seed: u64) -> Self {
        Self {
            capacity,
            lag,
            loss,
            rng: Pcg64Mcg::seed_from_u64(seed),
            epoch: 1,
            clock: 0,
            used: BTreeMap::new(),
            order: BTreeMap::new(),
            first: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of blocks held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.used.len()
    }

    /// Counts how many of a prompt's first blocks are held, and marks them used.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
        let held = blocks.iter().take_while(|b| self.used.contains_key(b));
        let held = held.count();
        for &block in &blocks[..held] {
            self.mark(block);
        }
        held
    }

    /// Adds the blocks of a prompt.
    pub fn add(&mut self, blocks: &[u64], now: Instant) {
        for &block in blocks {
            if !self.mark(block) {
                self.tell("add", block, now);
            }
        }
        while self.used.len() > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
            self.tell("drop", oldest, now);
        }
    }

    /// Loses all blocks and events, like a process that starts anew.
    pub fn forget(&mut self) {
        self.epoch += 1;
        self.used.clear();
        self.order.clear();
        self.events.clear();
        self.first = 0;
    }

    /// Returns the events from a number on that are old enough to be seen.
    #[must_use]
    pub fn page(&self, since: u64, now: Instant) -> Page {
        let start = since.max(self.first);
        let skip = usize::try_from(start - self.first).unwrap_or(usize::MAX);
        let visible = self.events.iter().skip(skip).take(EVENTS_PAGE);
        let visible = visible.take_while(|(at, _)| *at + self.lag <= now);
        let mut page = Page {
            epoch: self.epoch,
            first: start,
            next: start,
            gap: since < self.first,
            events: Vec::new(),
        };
        for (_, event) in visible {
            page.next += 1;
            match event {
                Some(event) => page.events.push(event.clone()),
                None => page.gap = true,
            }
        }
        page
    }

    // Returns whether the block was held before.
    fn mark(&mut self, block: u64) -> bool {
        self.clock += 1;
        let before = self.used.insert(block, self.clock);
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
        before.is_some()
    }

    fn tell(&mut self, op: &'static str, block: u64, now: Instant) {
        let lost = self.loss > 0.0 && self.rng.random::<f64>() < self.loss;
        let event = (!lost).then(|| Event {
            op,
            block: format!("{block:016x}"),
        });
        self.events.push_back((now, event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
            self.first += 1;
        }
    }
}
