//! The membership view of one node.

mod member;
mod plan;

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

pub use member::Member;

use super::detector::HeartbeatVerdict;
use super::detector::LinkEnd;
use super::detector::PeerState;
use super::detector::TimeoutBounds;
use super::dial::Dials;
use super::event::Action;
use super::event::Event;
use super::event::LinkId;
use super::event::Refusal;
use super::pace::Pace;
use super::peer::ListedNode;
use super::peer::NodeKind;
use super::peer::PeerHeartbeat;
use super::peer::Profile;
use super::subset::Subset;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::PoolName;
use crate::time::Time;

/// The minimum delay of a wake-up that counts as a pause of this process.
const WAKE_DELAY_MIN: Duration = Duration::from_millis(300);

/// How long after a pause no peer is judged by its silence.
const SILENCE_GRACE: Duration = Duration::from_millis(700);

/// The settings of a view.
#[derive(Debug, Clone, Copy)]
pub struct ViewSettings {
    /// The bounds of the failure detector's time-outs.
    pub timeouts: TimeoutBounds,
    /// The pace of heartbeats.
    pub pace: Pace,
    /// The number of other routers to which a router links.
    pub routers: usize,
    /// The maximum number of links, dialed and accepted.
    pub links_max: usize,
    /// The interval between rebalancing steps in one group.
    pub shift_period: Duration,
    /// The interval between probes of nodes without a link.
    pub probe_period: Duration,
    /// How long a peer that was full isn't dialed again.
    pub full_pause: Duration,
}

impl Default for ViewSettings {
    fn default() -> Self {
        Self {
            timeouts: TimeoutBounds::default(),
            pace: Pace::default(),
            routers: 6,
            links_max: 512,
            shift_period: Duration::from_secs(5),
            probe_period: Duration::from_millis(250),
            full_pause: Duration::from_mins(1),
        }
    }
}

#[derive(Debug, Clone)]
struct Link {
    node: NodeId,
    dialed: Option<SocketAddr>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Routers,
    Agents(Option<PoolName>),
}

/// The next run of each periodic task.
///
/// Separate timers, since a heartbeat arrives every few milliseconds and must
/// not cost a pass over all members.
#[derive(Debug, Clone, Copy, Default)]
struct Timers {
    check: Time,
    plan: Time,
    dial: Time,
    probe: Time,
    heartbeat: Time,
}

impl Timers {
    fn earliest(&self) -> Time {
        self.check.min(self.plan).min(self.dial).min(self.heartbeat)
    }
}

/// The members known to one node, and its links to them.
#[derive(Debug, Clone)]
pub struct View {
    me: Profile,
    incarnation: Incarnation,
    settings: ViewSettings,
    seeds: BTreeSet<SocketAddr>,
    members: BTreeMap<NodeId, Member>,
    links: BTreeMap<LinkId, Link>,
    subsets: BTreeMap<Group, Subset>,
    dials: Dials,
    draining: bool,
    leaving: bool,
    changed: bool,
    timers: Timers,
    /// No peer is judged by its silence before this time.
    grace_until: Time,
    wake: Time,
}

impl View {
    /// Creates a view without members.
    #[must_use]
    pub fn new(me: Profile, incarnation: Incarnation, settings: ViewSettings) -> Self {
        Self {
            me,
            incarnation,
            settings,
            seeds: BTreeSet::new(),
            members: BTreeMap::new(),
            links: BTreeMap::new(),
            subsets: BTreeMap::new(),
            dials: Dials::default(),
            draining: false,
            leaving: false,
            changed: true,
            timers: Timers::default(),
            grace_until: Time::ZERO,
            wake: Time::ZERO,
        }
    }

    /// Returns the members, by name.
    #[must_use]
    pub const fn members(&self) -> &BTreeMap<NodeId, Member> {
        &self.members
    }

    /// Returns the number of established links.
    #[must_use]
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Returns the heartbeat interval for the current number of links.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.settings.pace.interval(self.links.len())
    }

    /// Returns the number of linked peers that may still send new work despite
    /// the drain.
    ///
    /// A peer that echoes the first draining heartbeat has read it. Links are
    /// ordered, so everything that the peer sent earlier has arrived by then.
    #[must_use]
    pub fn unaware_of_drain(&self) -> usize {
        let unaware = |m: &&Member| {
            let informed = m.drain_seq.is_some_and(|t| m.detector.echoed_seq() >= t);
            m.link.is_some() && !m.is_gone() && !informed
        };
        self.members.values().filter(unaware).count()
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        let mut out = Vec::new();
        match event {
            Event::Seeds(seeds) => {
                self.seeds = seeds.into_iter().collect();
                self.changed = true;
            }
            Event::HostList(listed) => self.on_host_list(now, listed, &mut out),
            Event::LinkUp {
                link,
                dialed,
                profile,
                incarnation,
            } => {
                let node = profile.node.clone();
                self.ensure_member(&profile);
                let fresh = Link { node, dialed };
                if self.on_link_up(now, link, fresh, incarnation, &mut out) {
                    self.on_hello(now, profile);
                }
            }
            Event::LinkDown { link, end } => self.on_link_down(now, link, end, &mut out),
            Event::DialFailed { address, end } => self.on_dial_failed(now, address, end, &mut out),
            Event::Heartbeat { link, heartbeat } => {
                self.on_heartbeat(now, link, heartbeat, &mut out);
            }
            Event::Goodbye { link, incarnation } => {
                self.on_goodbye(now, link, incarnation, &mut out);
            }
            Event::Full { link } => self.on_full(now, link, &mut out),
            Event::Draining(draining) => self.on_draining(now, draining),
            Event::Tick => {}
        }
        self.advance(now, &mut out);
        out.push(Action::WakeAt(self.wake));
        out
    }

    /// Suspends time-outs after a pause of this process.
    ///
    /// Heartbeats that arrived during the pause are still unread. Without the
    /// grace period every peer would look silent, and this node would refuse
    /// all work for lack of endpoints.
    fn detect_pause(&mut self, now: Time) {
        let paused = self.wake > Time::ZERO && now.since(self.wake) > WAKE_DELAY_MIN;
        if paused {
            self.grace_until = now + SILENCE_GRACE;
        }
    }

    /// Applies `change` to a member and emits an action if its state changes.
    fn update(&mut self, node: &NodeId, out: &mut Vec<Action>, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(node) else {
            return;
        };
        let from = member.state();
        change(member);
        let to = member.state();
        self.timers.check = self.timers.check.min(member.detector.next_check());
        if from != to {
            self.changed = true;
            out.push(Action::StateChanged {
                node: node.clone(),
                from,
                to,
            });
        }
    }

    fn on_host_list(&mut self, now: Time, listed: Vec<ListedNode>, out: &mut Vec<Action>) {
        let named: BTreeSet<NodeId> = listed.iter().map(|l| l.profile.node.clone()).collect();
        let unnamed: Vec<NodeId> = self
            .members
            .keys()
            .filter(|n| !named.contains(*n))
            .cloned()
            .collect();
        for node in unnamed {
            self.update(&node, out, |m| {
                m.listed = false;
                m.leaving = false;
                m.detector.set_listed(now, false);
            });
        }
        let me = self.me.host.clone();
        let leaving = listed.iter().any(|l| l.profile.host == me && l.leaving);
        for entry in listed {
            self.on_listed_node(now, entry, out);
        }
        if leaving != self.leaving {
            self.leaving = leaving;
            out.push(Action::HostLeaving(leaving));
        }
        self.changed = true;
    }

    fn on_listed_node(&mut self, now: Time, entry: ListedNode, out: &mut Vec<Action>) {
        let node = entry.profile.node.clone();
        if node == self.me.node {
            return;
        }
        let timeouts = self.settings.timeouts;
        let profile = entry.profile.clone();
        self.members
            .entry(node.clone())
            .or_insert_with(|| Member::new(profile, timeouts));
        self.update(&node, out, |m| m.apply_listed(now, entry));
    }

    fn ensure_member(&mut self, profile: &Profile) {
        if profile.node == self.me.node {
            return;
        }
        let timeouts = self.settings.timeouts;
        let fresh = || Member::new(profile.clone(), timeouts);
        self.members
            .entry(profile.node.clone())
            .or_insert_with(fresh);
    }

    /// Applies a hello, on links that are kept only.
    ///
    /// The hello of an older process with the same name would otherwise direct
    /// all later dials to that process's address.
    fn on_hello(&mut self, now: Time, profile: Profile) {
        let Some(member) = self.members.get_mut(&profile.node) else {
            return;
        };
        member.last_probe = now;
        if member.profile != profile {
            member.profile = profile;
            self.changed = true;
        }
    }

    /// Handles a new link and returns whether it is kept.
    fn on_link_up(
        &mut self,
        now: Time,
        id: LinkId,
        link: Link,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) -> bool {
        if let Some(address) = link.dialed {
            self.dials.linked(address);
        }
        let node = link.node.clone();
        if node == self.me.node {
            // A seed names this node itself, or another process uses its name.
            out.push(Action::Disconnect {
                link: id,
                reason: Refusal::SecondLink,
            });
            return false;
        }
        if link.dialed.is_none() && self.links.len() >= self.settings.links_max {
            out.push(Action::Disconnect {
                link: id,
                reason: Refusal::Full,
            });
            return false;
        }
        let Some(member) = self.members.get(&node) else {
            return false;
        };
        let known = member.incarnation();
        let same = member.link.filter(|_link| known == Some(incarnation));
        if same.is_some_and(|old| !self.replaces(&link, old)) {
            out.push(Action::Disconnect {
                link: id,
                reason: Refusal::SecondLink,
            });
            return false;
        }
        let mut verdict = HeartbeatVerdict::Superseded;
        self.update(&node, out, |m| {
            verdict = m.detector.on_link_up(now, incarnation);
        });
        if verdict == HeartbeatVerdict::Superseded {
            out.push(Action::Disconnect {
                link: id,
                reason: Refusal::Superseded,
            });
            return false;
        }
        self.replace_link(now, id, link, verdict, out);
        true
    }

    /// Returns whether a new link to an incarnation should replace the old one.
    ///
    /// Two nodes that dial each other at the same time could otherwise each keep,
    /// or each close, a different link. The link dialed by the node with the
    /// lower name wins; of two by the same dialer the newer, as the older one may
    /// be half open.
    fn replaces(&self, new: &Link, old: LinkId) -> bool {
        // A silent link may be half open: the peer has abandoned it and dials
        // again. Keeping the old link would refuse that peer for good.
        let silent = |m: &Member| m.state() != PeerState::Alive;
        if self.members.get(&new.node).is_some_and(silent) {
            return true;
        }
        let ours = |dialed: bool| dialed == (self.me.node < new.node);
        let Some(old) = self.links.get(&old) else {
            return true;
        };
        ours(new.dialed.is_some()) || !ours(old.dialed.is_some())
    }

    fn replace_link(
        &mut self,
        now: Time,
        id: LinkId,
        link: Link,
        verdict: HeartbeatVerdict,
        out: &mut Vec<Action>,
    ) {
        let node = link.node.clone();
        self.links.insert(id, link);
        self.timers.heartbeat = now;
        self.timers.dial = Time::ZERO;
        let mut old = None;
        self.update(&node, out, |m| {
            old = m.link.replace(id);
            m.sent_seq = 0;
            m.drain_seq = None;
            m.next_heartbeat = now;
            m.draining = false;
        });
        let Some(old) = old else {
            return;
        };
        self.links.remove(&old);
        let restarted = matches!(verdict, HeartbeatVerdict::Restarted { .. });
        let reason = if restarted {
            Refusal::Superseded
        } else {
            Refusal::SecondLink
        };
        out.push(Action::Disconnect { link: old, reason });
    }

    fn on_link_down(&mut self, now: Time, id: LinkId, end: LinkEnd, out: &mut Vec<Action>) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        self.update(&link.node, out, |m| {
            if m.link == Some(id) {
                m.link = None;
                m.detector.on_link_down(now, end);
            }
        });
        self.changed = true;
    }

    fn on_dial_failed(
        &mut self,
        now: Time,
        address: SocketAddr,
        end: LinkEnd,
        out: &mut Vec<Action>,
    ) {
        self.dials.failed(now, address);
        self.timers.dial = Time::ZERO;
        let unlinked = |m: &&Member| m.profile.address == address && m.link.is_none();
        let nodes: Vec<NodeId> = self
            .members
            .values()
            .filter(unlinked)
            .map(|m| m.profile.node.clone())
            .collect();
        for node in nodes {
            self.update(&node, out, |m| m.detector.on_link_down(now, end));
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        id: LinkId,
        heartbeat: PeerHeartbeat,
        out: &mut Vec<Action>,
    ) {
        let Some(node) = self.links.get(&id).map(|l| l.node.clone()) else {
            return;
        };
        let mut verdict = HeartbeatVerdict::Repeated;
        let mut drained = false;
        let longest = self.settings.pace.longest;
        self.update(&node, out, |m| {
            verdict = m.detector.on_heartbeat(now, heartbeat);
            if verdict == HeartbeatVerdict::Fresh {
                drained = m.draining != heartbeat.draining;
                m.draining = heartbeat.draining;
                m.peer_interval = heartbeat.pace.min(longest);
            }
        });
        self.changed |= drained;
        if verdict == HeartbeatVerdict::Superseded {
            out.push(Action::Disconnect {
                link: id,
                reason: Refusal::Superseded,
            });
        }
    }

    fn on_goodbye(
        &mut self,
        now: Time,
        id: LinkId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let Some(node) = self.links.get(&id).map(|l| l.node.clone()) else {
            return;
        };
        self.update(&node, out, |m| m.detector.on_goodbye(now, incarnation));
    }

    fn on_full(&mut self, now: Time, id: LinkId, out: &mut Vec<Action>) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let until = now + self.settings.full_pause;
        self.update(&link.node, out, |m| {
            m.link = None;
            m.full_until = until;
            m.detector.unwatch(now);
        });
        self.changed = true;
    }

    fn on_draining(&mut self, now: Time, draining: bool) {
        self.draining = draining;
        // Notify peers immediately, not at the next heartbeat; until then they
        // send work that is only refused as not run.
        for member in self.members.values_mut() {
            member.next_heartbeat = now;
            member.drain_seq = None;
        }
        self.timers.heartbeat = now;
    }

    fn is_router(&self) -> bool {
        self.me.kind == NodeKind::Router
    }
}
