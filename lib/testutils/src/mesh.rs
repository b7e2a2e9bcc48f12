//! Many membership views in one process, joined by a transport that fails on command.

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

/// How long a dial into nothing waits.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long sent bytes may go unacknowledged, as the runtime sets it.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A change of state as one node saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// When it was seen.
    pub at: Time,
    /// The address of the node that saw it.
    pub by: SocketAddr,
    /// The node it concerns.
    pub node: NodeId,
    /// The state before.
    pub from: PeerState,
    /// The state then.
    pub to: PeerState,
}

#[derive(Debug)]
struct Process {
    view: View,
    profile: Profile,
    incarnation: Incarnation,
    paused: Option<Vec<Item>>,
    wake: Time,
}

#[derive(Debug, Clone)]
enum Item {
    Wake,
    Event(Event),
    Dial { to: SocketAddr },
}

#[derive(Debug, Clone, Copy)]
struct Wire {
    dialer: SocketAddr,
    other: SocketAddr,
}

/// Processes by address, and the network between them.
#[derive(Debug)]
pub struct Mesh {
    /// The time in the mesh.
    pub now: Time,
    /// The share of frames that arrive late, as if lost and sent again.
    pub loss: f64,
    /// All changes of state, in order.
    pub seen: Vec<Seen>,
    /// Heartbeats sent, by address.
    pub sent: BTreeMap<SocketAddr, u64>,
    settings: ViewSettings,
    processes: BTreeMap<SocketAddr, Process>,
    dark: BTreeSet<SocketAddr>,
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    wires: BTreeMap<LinkId, Wire>,
    queue: BTreeMap<(Time, u64), (SocketAddr, Item)>,
    next: u64,
    random: Pcg64Mcg,
}

impl Mesh {
    /// Builds an empty mesh.
    #[must_use]
    pub fn new(seed: u64, settings: ViewSettings) -> Self {
        Self {
            now: Time::ZERO,
            loss: 0.0,
            seen: Vec::new(),
            sent: BTreeMap::new(),
            settings,
            processes: BTreeMap::new(),
            dark: BTreeSet::new(),
            cuts: BTreeSet::new(),
            wires: BTreeMap::new(),
            queue: BTreeMap::new(),
            next: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Starts a process, at the address in its profile.
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
        self.dark.remove(&address);
        self.processes.insert(address, process);
        self.post(Duration::ZERO, address, Item::Wake);
    }

    /// Kills a process; its host refuses connections from then on.
    pub fn kill(&mut self, address: SocketAddr) {
        self.processes.remove(&address);
        for (id, wire) in self.wires.clone() {
            if wire.dialer == address || wire.other == address {
                let peer = if wire.dialer == address {
                    wire.other
                } else {
                    wire.dialer
                };
                self.wires.remove(&id);
                if self.open(address, peer) {
                    let event = Event::LinkDown {
                        link: id,
                        end: LinkEnd::Reset,
                    };
                    self.send(peer, event);
                }
            }
        }
    }

    /// Takes the power from a host: nothing answers for it any more.
    pub fn darken(&mut self, address: SocketAddr) {
        self.dark.insert(address);
        self.processes.remove(&address);
    }

    /// Stops a process without ending it.
    pub fn pause(&mut self, address: SocketAddr) {
        if let Some(process) = self.processes.get_mut(&address) {
            process.paused.get_or_insert_default();
        }
    }

    /// Lets a paused process go on; it meets all that has come meanwhile.
    pub fn resume(&mut self, address: SocketAddr) {
        let process = self.processes.get_mut(&address);
        let kept = process.and_then(|p| p.paused.take()).unwrap_or_default();
        for item in kept {
            self.post(Duration::ZERO, address, item);
        }
        self.post(Duration::ZERO, address, Item::Wake);
    }

    /// Loses all that goes one way.
    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr) {
        self.cuts.insert((from, to));
    }

    /// Joins all again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Gives an event to a process.
    pub fn give(&mut self, address: SocketAddr, event: Event) {
        self.post(Duration::ZERO, address, Item::Event(event));
    }

    /// Gives all processes a host list that names those given.
    pub fn list(&mut self, listed: &[ListedNode]) {
        let addresses: Vec<SocketAddr> = self.processes.keys().copied().collect();
        for address in addresses {
            self.give(address, Event::HostList(listed.to_vec()));
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

    /// Returns what a process knows of a node.
    #[must_use]
    pub fn state(&self, by: SocketAddr, node: &NodeId) -> PeerState {
        let member = self.view(by).and_then(|v| v.members().get(node));
        member.map_or(PeerState::Unheard, Member::state)
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (address, item) = entry.remove();
            self.now = self.now.max(at);
            self.take(address, item);
        }
        self.now = end;
    }

    fn take(&mut self, address: SocketAddr, item: Item) {
        let Some(process) = self.processes.get_mut(&address) else {
            return;
        };
        if let (Some(kept), Item::Event(_) | Item::Dial { .. }) = (&mut process.paused, &item) {
            kept.push(item);
            return;
        }
        if process.paused.is_some() {
            return;
        }
        let event = match item {
            // An old wake-up, for a time that was moved.
            Item::Wake if process.wake > self.now && process.wake != Time::NEVER => return,
            Item::Wake => Event::Tick,
            Item::Event(event) => event,
            Item::Dial { to } => return self.dial(address, to),
        };
        let actions = process.view.handle(self.now, event);
        for action in actions {
            self.act(address, action);
        }
    }

    fn act(&mut self, by: SocketAddr, action: Action) {
        match action {
            Action::Connect { address } => {
                let delay = self.delay();
                self.post(delay, by, Item::Dial { to: address });
            }
            Action::Disconnect { link, reason } => self.disconnect(by, link, reason),
            Action::SendHeartbeat { link, heartbeat } => {
                *self.sent.entry(by).or_default() += 1;
                self.carry(by, link, Event::Heartbeat { link, heartbeat });
            }
            Action::StateChanged { node, from, to } => {
                self.seen.push(Seen {
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
            self.post(at.since(now), by, Item::Wake);
        }
    }

    fn dial(&mut self, by: SocketAddr, to: SocketAddr) {
        let closed = !self.open(by, to) || !self.open(to, by) || self.dark.contains(&to);
        if closed {
            let event = Event::DialFailed {
                address: to,
                end: LinkEnd::Timeout,
            };
            return self.post(DIAL_TIMEOUT, by, Item::Event(event));
        }
        let Some(other) = self.processes.get(&to) else {
            let event = Event::DialFailed {
                address: to,
                end: LinkEnd::Refused,
            };
            return self.send(by, event);
        };
        let told = (other.profile.clone(), other.incarnation);
        // A paused process is connected by its kernel but says no hello.
        if other.paused.is_some() {
            let event = Event::DialFailed {
                address: to,
                end: LinkEnd::Timeout,
            };
            return self.post(DIAL_TIMEOUT, by, Item::Event(event));
        }
        let Some(own) = self
            .processes
            .get(&by)
            .map(|p| (p.profile.clone(), p.incarnation))
        else {
            return;
        };
        let link = LinkId(self.number());
        self.wires.insert(
            link,
            Wire {
                dialer: by,
                other: to,
            },
        );
        let up = |(profile, incarnation): (Profile, Incarnation), dialed| Event::LinkUp {
            link,
            dialed,
            profile,
            incarnation,
        };
        self.send(by, up(told, Some(to)));
        self.send(to, up(own, None));
    }

    fn disconnect(&mut self, by: SocketAddr, link: LinkId, reason: Refusal) {
        let Some(wire) = self.wires.remove(&link) else {
            return;
        };
        let peer = if wire.dialer == by {
            wire.other
        } else {
            wire.dialer
        };
        let event = match reason {
            Refusal::Full => Event::Full { link },
            _ => Event::LinkDown {
                link,
                end: LinkEnd::Reset,
            },
        };
        if self.open(by, peer) {
            self.send(peer, event);
        }
    }

    fn carry(&mut self, by: SocketAddr, link: LinkId, event: Event) {
        let Some(wire) = self.wires.get(&link) else {
            // The other side's kernel has given the connection up.
            let event = Event::LinkDown {
                link,
                end: LinkEnd::Timeout,
            };
            return self.post(USER_TIMEOUT, by, Item::Event(event));
        };
        let peer = if wire.dialer == by {
            wire.other
        } else {
            wire.dialer
        };
        if self.open(by, peer) && !self.dark.contains(&peer) {
            return self.send(peer, event);
        }
        // The bytes stay unacknowledged, until the sender's kernel gives up.
        self.wires.remove(&link);
        let event = Event::LinkDown {
            link,
            end: LinkEnd::Timeout,
        };
        self.post(USER_TIMEOUT, by, Item::Event(event));
    }

    fn open(&self, from: SocketAddr, to: SocketAddr) -> bool {
        !self.cuts.contains(&(from, to))
    }

    fn send(&mut self, to: SocketAddr, event: Event) {
        let delay = self.delay();
        self.post(delay, to, Item::Event(event));
    }

    fn delay(&mut self) -> Duration {
        let jitter = Duration::from_micros(self.random.random_range(500..3_000));
        if self.random.random_bool(self.loss) {
            return jitter + Duration::from_millis(self.random.random_range(200..900));
        }
        jitter
    }

    fn post(&mut self, delay: Duration, to: SocketAddr, item: Item) {
        let number = self.number();
        self.queue.insert((self.now + delay, number), (to, item));
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// Builds the profile of a node: `r3` is a router, `a12` an agent.
///
/// Pools, failure domains and regions go round: 17, 12 and 3 of them.
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

/// Returns a host list that names the profiles as live.
#[must_use]
pub fn listed(profiles: &[Profile]) -> Vec<ListedNode> {
    let live = |p: &Profile| ListedNode {
        profile: p.clone(),
        leaving: false,
    };
    profiles.iter().map(live).collect()
}
