//! The view's periodic tasks: heartbeats, time-outs, links and dials.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Group;
use super::View;
use crate::ids::NodeId;
use crate::membership::Action;
use crate::membership::Candidate;
use crate::membership::LinkId;
use crate::membership::Member;
use crate::membership::NodeKind;
use crate::membership::NodeLocation;
use crate::membership::PeerHeartbeat;
use crate::membership::PeerState;
use crate::membership::Refusal;
use crate::membership::SubsetChange;
use crate::membership::degree;
use crate::time::Time;

/// The maximum time between wake-ups, which recovers from a lost one.
const SLEEP_MAX: Duration = Duration::from_secs(1);

/// The minimum time between wake-ups, so that overdue work can't spin.
const SLEEP_MIN: Duration = Duration::from_millis(1);

impl View {
    pub(super) fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        self.timers.check = self.timers.check.max(self.grace_until);
        if now >= self.timers.check {
            self.check_members(now, out);
        }
        if self.changed || now >= self.timers.plan {
            self.changed = false;
            self.timers.plan = now + self.settings.shift_period;
            self.plan_links(now, out);
            self.remove_gone_members();
            self.timers.dial = Time::ZERO;
        }
        if now >= self.timers.dial {
            self.dial(now, out);
        }
        if now >= self.timers.heartbeat {
            self.send_heartbeats(now, out);
        }
        self.wake = self.timers.earliest().max(now + SLEEP_MIN);
    }

    fn check_members(&mut self, now: Time, out: &mut Vec<Action>) {
        self.timers.check = now + SLEEP_MAX;
        let due = |m: &&Member| m.detector.next_check() <= now || m.link.is_some();
        let due = self.members.values().filter(due);
        let nodes: Vec<NodeId> = due.map(|m| m.profile.node.clone()).collect();
        for node in nodes {
            self.update(&node, out, |m| {
                m.detector.tick(now);
            });
        }
    }

    fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Action>) {
        let own = self.interval();
        // Links that are almost due are included, so that one wake-up serves many.
        let almost = now + own / 8;
        let mut next = Time::NEVER;
        for (id, link) in &self.links {
            let Some(member) = self.members.get_mut(&link.node) else {
                continue;
            };
            if member.next_heartbeat > almost {
                next = next.min(member.next_heartbeat);
                continue;
            }
            member.next_heartbeat = now + own.max(member.peer_interval);
            next = next.min(member.next_heartbeat);
            member.sent_seq += 1;
            member.detector.on_heartbeat_sent(now, member.sent_seq);
            if self.draining {
                member.drain_seq.get_or_insert(member.sent_seq);
            }
            let heartbeat = PeerHeartbeat {
                incarnation: self.incarnation,
                seq: member.sent_seq,
                seen: member.detector.seen_seq(),
                draining: self.draining,
                pace: own,
            };
            out.push(Action::SendHeartbeat {
                link: *id,
                heartbeat,
            });
        }
        self.timers.heartbeat = next;
    }

    fn plan_links(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.is_router() {
            return;
        }
        let mut groups = self.groups(now);
        // A group without members may still have links to drop.
        for group in self.subsets.keys() {
            groups.entry(group.clone()).or_default();
        }
        let routers = self.routers_known();
        let me = self.location();
        let period = self.settings.shift_period;
        let mut dropped = Vec::new();
        for (group, candidates) in groups {
            let count = match group {
                Group::Routers => self.settings.routers,
                Group::Agents(_) => degree(candidates.len(), routers),
            };
            let subset = self.subsets.entry(group).or_default();
            let changes = subset.plan(now, &me, &candidates, count, period);
            dropped.extend(changes.into_iter().filter_map(|c| match c {
                SubsetChange::Drop(node) => Some(node),
                SubsetChange::Add(_) => None,
            }));
        }
        self.subsets.retain(|_, s| !s.links().is_empty());
        self.drop_links(now, &dropped, out);
        self.drop_probe_links(now, out);
    }

    fn groups(&self, now: Time) -> BTreeMap<Group, Vec<Candidate>> {
        let mut groups: BTreeMap<Group, Vec<Candidate>> = BTreeMap::new();
        for member in self.members.values() {
            let group = match member.profile.kind {
                NodeKind::Router => Group::Routers,
                NodeKind::Agent => Group::Agents(member.profile.pool.clone()),
            };
            // An agent whose pool is unknown is probed for its hello, not chosen.
            if group == Group::Agents(None) {
                continue;
            }
            let usable = member.may_link(now);
            let location = member.location();
            groups
                .entry(group)
                .or_default()
                .push(Candidate { location, usable });
        }
        groups
    }

    fn routers_known(&self) -> usize {
        let router = |m: &&Member| m.profile.kind == NodeKind::Router && !m.is_gone();
        1 + self.members.values().filter(router).count()
    }

    fn location(&self) -> NodeLocation {
        NodeLocation {
            node: self.me.node.clone(),
            domain: self.me.domain.clone(),
            region: self.me.region.clone(),
        }
    }

    /// Closes links to healthy nodes that are no longer chosen.
    fn drop_links(&mut self, now: Time, nodes: &[NodeId], out: &mut Vec<Action>) {
        for node in nodes {
            let Some(member) = self.members.get(node) else {
                continue;
            };
            // A draining or slow node may still run work; it closes the link
            // when that is done, or a time-out does.
            if !member.may_link(now) {
                continue;
            }
            let Some(id) = member.link.filter(|id| self.is_dialed_by_us(*id)) else {
                continue;
            };
            self.links.remove(&id);
            self.update(node, out, |m| {
                m.link = None;
                m.detector.unwatch(now);
            });
            out.push(Action::Disconnect {
                link: id,
                reason: Refusal::NotChosen,
            });
        }
    }

    /// Closes links that were dialed only to obtain a node's hello.
    fn drop_probe_links(&mut self, now: Time, out: &mut Vec<Action>) {
        let chosen = self.chosen();
        let idle: Vec<NodeId> = self
            .links
            .values()
            .filter(|l| l.dialed.is_some() && !chosen.contains(&l.node))
            .map(|l| l.node.clone())
            .collect();
        self.drop_links(now, &idle, out);
    }

    fn is_dialed_by_us(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|l| l.dialed.is_some())
    }

    fn chosen(&self) -> BTreeSet<NodeId> {
        self.subsets
            .values()
            .flat_map(|s| s.links().iter().cloned())
            .collect()
    }

    fn dial(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut wanted = self.wanted_seeds();
        if self.is_router() {
            wanted.extend(self.wanted_members());
        }
        if self.is_router() && now >= self.timers.probe {
            self.timers.probe = now + self.settings.probe_period;
            wanted.extend(self.next_probe(now));
        }
        self.dials.retain(now, |a| wanted.contains(a));
        for address in wanted {
            if self.dials.start(now, address) {
                out.push(Action::Connect { address });
            }
        }
        let probe = if self.is_router() {
            self.timers.probe
        } else {
            Time::NEVER
        };
        self.timers.dial = self.dials.next().min(probe).min(now + SLEEP_MAX);
    }

    fn wanted_seeds(&self) -> BTreeSet<SocketAddr> {
        let mut seeds = self.seeds.clone();
        seeds.remove(&self.me.address);
        for member in self.members.values() {
            // A router chooses among the nodes that it has met. An agent stays
            // linked to its seeds, so that routers missing from its list meet it.
            let known =
                member.link.is_some() || (self.is_router() && member.incarnation().is_some());
            if known {
                seeds.remove(&member.profile.address);
            }
        }
        seeds
    }

    fn wanted_members(&self) -> BTreeSet<SocketAddr> {
        let chosen = self.chosen();
        let wanted = |m: &&Member| m.link.is_none() && chosen.contains(&m.profile.node);
        self.members
            .values()
            .filter(wanted)
            .map(|m| m.profile.address)
            .collect()
    }

    /// Returns the address of the node whose last probe is the oldest.
    ///
    /// Candidates are nodes that are gone and may have returned, agents of
    /// unknown pool and nodes with a conflicting address. Only one node is
    /// probed at a time, so that a partition of hundreds costs no more than that
    /// of one.
    fn next_probe(&mut self, now: Time) -> Option<SocketAddr> {
        let probeable = |m: &&mut Member| m.probe_address(now).is_some();
        let oldest = self
            .members
            .values_mut()
            .filter(probeable)
            .min_by_key(|m| m.last_probe)?;
        let address = oldest.probe_address(now);
        oldest.last_probe = now;
        address
    }

    /// Removes members that are gone and that neither the list nor a seed names.
    fn remove_gone_members(&mut self) {
        let seeds = &self.seeds;
        self.members.retain(|_, m| {
            let ended = !matches!(m.state(), PeerState::Alive | PeerState::Slow);
            m.listed || m.link.is_some() || !ended || seeds.contains(&m.profile.address)
        });
    }
}
