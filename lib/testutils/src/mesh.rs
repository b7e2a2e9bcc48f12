//! Simulates many membership views over a network with injected faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::membership::Action;
use snipeyoke_lib::membership::Event;
use snipeyoke_lib::membership::LinkEnd;
use snipeyoke_lib::membership::LinkId;
use snipeyoke_lib::membership::ListedNode;
use snipeyoke_lib::membership::Member;
use snipeyoke_lib::membership::NodeKind;
use snipeyoke_lib::membership::PeerState;
use snipeyoke_lib::membership::Profile;
use snipeyoke_lib::membership::Refusal;
use snipeyoke_lib::membership::View;
use snipeyoke_lib::membership::ViewSettings;
use snipeyoke_lib::time::Time;

/// The time-out of a dial to an unreachable address.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long sent bytes may remain unacknowledged; the runtime sets the same
/// `TCP_USER_TIMEOUT`.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A change of a node's state, as another node detected it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// When the change was detected.
    pub at: Time,
    /// The address of the node that detected it.
    pub by: SocketAddr,
    /// The node whose state changed.
    pub node: NodeId,
    /// The state before.
    pub from: PeerState,
    /// The state after.
    pub to: PeerState,
}

#[derive(Debug)]
struct Process {
    view: View,
    profile: Profile,
    incarnation: Incarnation,
    paused: Option<Vec<Scheduled>>,
    wake: Time,
}

#[derive(Debug, Clone)]
enum Scheduled {
    Wake,
    Event(Event),
    Dial { to: SocketAddr },
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    dialer: SocketAddr,
    acceptor: SocketAddr,
}

/// The simulated processes, by address, and the network between them.
#[derive(Debug)]
pub struct Mesh {
    /// The simulated time.
    pub now: Time,
    /// The fraction of frames that arrive late, as if lost and retransmitted.
    pub loss: f64,
    /// All detected state changes, in order.
    pub changes: Vec<StateChange>,
    /// Heartbeats sent, by address.
    pub sent: BTreeMap<SocketAddr, u64>,
    settings: ViewSettings,
    processes: BTreeMap<SocketAddr, Process>,
    powered_off: BTreeSet<SocketAddr>,
    blocked: BTreeSet<(SocketAddr, SocketAddr)>,
    connections: BTreeMap<LinkId, Connection>,
    queue: BTreeMap<(Time, u64), (SocketAddr, Scheduled)>,
    last_number: u64,
    random: Pcg64Mcg,
}

impl Mesh {
    /// Creates a mesh without processes.
    #[must_use]
    pub fn new(seed: u64, settings: ViewSettings) -> Self {
        Self {
            now: Time::ZERO,
            loss: 0.0,
            changes: Vec::new(),
            sent: BTreeMap::new(),
            settings,
            processes: BTreeMap::new(),
            powered_off: BTreeSet::new(),
            blocked: BTreeSet::new(),
            connections: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_number: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Starts a process at the address in its profile.
    pub fn start(&mut self, profile: Profile, incarnation: u64) {
        let incarnation = Incarnation(incarnation);
        let address = profile.address;
        let view = View::new(profile.clone(), incarnation, self.settings);
        let process = Process {
            view,
            profile,
            incarnation,
            paused: None,
            wake: Time::NEVER,
        };
        self.powered_off.remove(&address);
        self.processes.insert(address, process);
        self.schedule(Duration::ZERO, address, Scheduled::Wake);
    }

    /// Kills a process; its host then refuses connections.
    pub fn kill(&mut self, address: SocketAddr) {
        self.processes.remove(&address);
        for (id, connection) in self.connections.clone() {
            if connection.dialer == address || connection.acceptor == address {
                let peer = if connection.dialer == address {
                    connection.acceptor
                } else {
                    connection.dialer
                };
                self.connections.remove(&id);
                if self.is_reachable(address, peer) {
                    let event = Event::LinkDown {
                        link: id,
                        end: LinkEnd::Reset,
                    };
                    self.send(peer, event);
                }
            }
        }
    }

    /// Powers off a host: dials to it time out and open links are not reset.
    pub fn power_off(&mut self, address: SocketAddr) {
        self.powered_off.insert(address);
        self.processes.remove(&address);
    }

    /// Pauses a process without killing it.
    pub fn pause(&mut self, address: SocketAddr) {
        if let Some(process) = self.processes.get_mut(&address) {
            process.paused.get_or_insert_default();
        }
    }

    /// Resumes a paused process, which then handles the events deferred meanwhile.
    pub fn resume(&mut self, address: SocketAddr) {
        let process = self.processes.get_mut(&address);
        let deferred = process.and_then(|p| p.paused.take()).unwrap_or_default();
        for item in deferred {
            self.schedule(Duration::ZERO, address, item);
        }
        self.schedule(Duration::ZERO, address, Scheduled::Wake);
    }

    /// Drops all traffic in one direction.
    pub fn block(&mut self, from: SocketAddr, to: SocketAddr) {
        self.blocked.insert((from, to));
    }

    /// Removes all blocks.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Delivers an event to a process.
    pub fn deliver(&mut self, address: SocketAddr, event: Event) {
        self.schedule(Duration::ZERO, address, Scheduled::Event(event));
    }

    /// Sends all processes a host list with the given nodes.
    pub fn send_host_list(&mut self, listed: &[ListedNode]) {
        let addresses: Vec<SocketAddr> = self.processes.keys().copied().collect();
        for address in addresses {
            self.deliver(address, Event::HostList(listed.to_vec()));
        }
    }

    /// Returns the view of a process.
    #[must_use]
    pub fn view(&self, address: SocketAddr) -> Option<&View> {
        self.processes.get(&address).map(|p| &p.view)
    }

    /// Returns the addresses of the processes.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.processes.keys().copied()
    }

    /// Returns the state of a node in the view of a process.
    #[must_use]
    pub fn state(&self, by: SocketAddr, node: &NodeId) -> PeerState {
        let member = self.view(by).and_then(|v| v.members().get(node));
        member.map_or(PeerState::Unheard, Member::state)
    }

    /// Advances the simulated time and handles the events that fall due.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (address, item) = entry.remove();
            self.now = self.now.max(at);
            self.handle(address, item);
        }
        self.now = end;
    }

    fn handle(&mut self, address: SocketAddr, item: Scheduled) {
        let Some(process) = self.processes.get_mut(&address) else {
            return;
        };
        if let (Some(deferred), Scheduled::Event(_) | Scheduled::Dial { .. }) =
            (&mut process.paused, &item)
        {
            deferred.push(item);
            return;
        }
        if process.paused.is_some() {
            return;
        }
        let event = match item {
            // A stale timer: the wake time was moved later.
            Scheduled::Wake if process.wake > self.now && process.wake != Time::NEVER => return,
            Scheduled::Wake => Event::Tick,
            Scheduled::Event(event) => event,
            Scheduled::Dial { to } => return self.dial(address, to),
        };
        let actions = process.view.handle(self.now, event);
        for action in actions {
            self.apply(address, action);
        }
    }

    fn apply(&mut self, by: SocketAddr, action: Action) {
        match action {
            Action::Connect { address } => {
                let delay = self.delay();
                self.schedule(delay, by, Scheduled::Dial { to: address });
            }
            Action::Disconnect { link, reason } => self.disconnect(by, link, reason),
            Action::SendHeartbeat { link, heartbeat } => {
                *self.sent.entry(by).or_default() += 1;
                self.send_on_link(by, link, Event::Heartbeat { link, heartbeat });
            }
            Action::StateChanged { node, from, to } => {
                self.changes.push(StateChange {
                    at: self.now,
                    by,
                    node,
                    from,
                    to,
                });
            }
            Action::WakeAt(at) => self.wake_at(by, at),
            Action::HostLeaving(_) => {}
        }
    }

    fn wake_at(&mut self, by: SocketAddr, at: Time) {
        let now = self.now;
        if let Some(process) = self.processes.get_mut(&by)
            && process.wake != at
        {
            process.wake = at;
            self.schedule(at.since(now), by, Scheduled::Wake);
        }
    }

    fn dial(&mut self, by: SocketAddr, to: SocketAddr) {
        let closed = !self.is_reachable(by, to)
            || !self.is_reachable(to, by)
            || self.powered_off.contains(&to);
        if closed {
            let event = Event::DialFailed {
                address: to,
                end: LinkEnd::Timeout,
            };
            return self.schedule(DIAL_TIMEOUT, by, Scheduled::Event(event));
        }
        let Some(acceptor) = self.processes.get(&to) else {
            let event = Event::DialFailed {
                address: to,
                end: LinkEnd::Refused,
            };
            return self.send(by, event);
        };
        let remote = (acceptor.profile.clone(), acceptor.incarnation);
        // The kernel of a paused process accepts the connection, but the process
        // sends no handshake.
        if acceptor.paused.is_some() {
            let event = Event::DialFailed {
                address: to,
                end: LinkEnd::Timeout,
            };
            return self.schedule(DIAL_TIMEOUT, by, Scheduled::Event(event));
        }
        let Some(local) = self
            .processes
            .get(&by)
            .map(|p| (p.profile.clone(), p.incarnation))
        else {
            return;
        };
        let link = LinkId(self.next_number());
        self.connections.insert(
            link,
            Connection {
                dialer: by,
                acceptor: to,
            },
        );
        let up = |(profile, incarnation): (Profile, Incarnation), dialed| Event::LinkUp {
            link,
            dialed,
            profile,
            incarnation,
        };
        self.send(by, up(remote, Some(to)));
        self.send(to, up(local, None));
    }

    fn disconnect(&mut self, by: SocketAddr, link: LinkId, reason: Refusal) {
        let Some(connection) = self.connections.remove(&link) else {
            return;
        };
        let peer = if connection.dialer == by {
            connection.acceptor
        } else {
            connection.dialer
        };
        let event = match reason {
            Refusal::Full => Event::Full { link },
            _ => Event::LinkDown {
                link,
                end: LinkEnd::Reset,
            },
        };
        if self.is_reachable(by, peer) {
            self.send(peer, event);
        }
    }

    fn send_on_link(&mut self, by: SocketAddr, link: LinkId, event: Event) {
        let Some(connection) = self.connections.get(&link) else {
            // The kernel at the peer has already dropped the connection.
            let event = Event::LinkDown {
                link,
                end: LinkEnd::Timeout,
            };
            return self.schedule(USER_TIMEOUT, by, Scheduled::Event(event));
        };
        let peer = if connection.dialer == by {
            connection.acceptor
        } else {
            connection.dialer
        };
        if self.is_reachable(by, peer) && !self.powered_off.contains(&peer) {
            return self.send(peer, event);
        }
        // The bytes stay unacknowledged until the sender's kernel times out.
        self.connections.remove(&link);
        let event = Event::LinkDown {
            link,
            end: LinkEnd::Timeout,
        };
        self.schedule(USER_TIMEOUT, by, Scheduled::Event(event));
    }

    fn is_reachable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        !self.blocked.contains(&(from, to))
    }

    fn send(&mut self, to: SocketAddr, event: Event) {
        let delay = self.delay();
        self.schedule(delay, to, Scheduled::Event(event));
    }

    fn delay(&mut self) -> Duration {
        let jitter = Duration::from_micros(self.random.random_range(500..3_000));
        if self.random.random_bool(self.loss) {
            return jitter + Duration::from_millis(self.random.random_range(200..900));
        }
        jitter
    }

    fn schedule(&mut self, delay: Duration, to: SocketAddr, item: Scheduled) {
        let number = self.next_number();
        self.queue.insert((self.now + delay, number), (to, item));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// Creates the profile of a node: `r3` is a router, `a12` an agent.
///
/// Nodes are spread over `pools` pools (17 at the design size), 12 failure
/// domains and 3 regions.
///
/// # Panics
///
/// Panics if the name is not `r` or `a` and a number.
#[must_use]
pub fn profile(name: &str, pools: usize) -> Profile {
    let index: usize = name[1..]
        .parse()
        .expect("the name is a letter and a number");
    let agent = name.starts_with('a');
    let domain = (index / pools.max(1) + index) % 12;
    let base = if agent { 0x0a01_0000 } else { 0x0a00_0000 };
    let ip = Ipv4Addr::from_bits(base + u32::try_from(index).expect("few nodes") + 1);
    let text = |kind: &str, n: usize| format!("{kind}{n}");
    Profile {
        node: name.parse().expect("a short name"),
        kind: if agent {
            NodeKind::Agent
        } else {
            NodeKind::Router
        },
        host: text(if agent { "ha" } else { "hr" }, index)
            .parse()
            .expect("a short name"),
        domain: text("d", domain).parse().expect("a short name"),
        region: text("g", domain % 3).parse().expect("a short name"),
        address: SocketAddr::new(IpAddr::V4(ip), 7000),
        pool: agent.then(|| text("p", index % pools).parse().expect("a short name")),
        endpoint: agent.then(|| text("e", index).parse().expect("a short name")),
    }
}

/// Returns a host list in which none of the nodes is leaving.
#[must_use]
pub fn listed(profiles: &[Profile]) -> Vec<ListedNode> {
    let live = |p: &Profile| ListedNode {
        profile: p.clone(),
        leaving: false,
    };
    profiles.iter().map(live).collect()
}
