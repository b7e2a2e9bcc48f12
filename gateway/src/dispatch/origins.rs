//! Origins of streams: reports to the nodes that keep them, questions to these,
//! and what this node keeps and saves itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use prost::Message as _;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::SoftwareVersion;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::stream_origins::Origin;
use snipeyoke_lib::serving::stream_origins::OriginAnswer;
use snipeyoke_lib::serving::stream_origins::StreamId;
use snipeyoke_lib::serving::stream_origins::VersionSets;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::OriginAsk;
use snipeyoke_wire::OriginReply;
use snipeyoke_wire::ServiceVersions;
use snipeyoke_wire::StreamGroup;
use snipeyoke_wire::StreamsBegun;
use snipeyoke_wire::VersionsRecorded;
use snipeyoke_wire::frame::Body;
use snipeyoke_wire::origin_reply;

use super::messages::LinkNumber;
use super::messages::Message;
use super::run::State;
use crate::registry::RegistryError;
use crate::shared::Shared;

/// How long a keeper holds a question while it reads what others have saved.
///
/// The registry responds within milliseconds, and within some hundred when it is
/// slow.
const LOAD_WAIT: Duration = Duration::from_millis(400);

/// The pause before origins are saved again while the registry is away.
const SAVE_PAUSE: Duration = Duration::from_secs(1);

/// The shortest interval between two records of the versions of all services.
///
/// When a deployment starts, its services register one after the other.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest interval between two checks whether the versions have to be recorded.
///
/// New streams may wait for the record. A check goes through all endpoints, which may
/// change many times a second.
const RECORD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A question of this node's requests.
#[derive(Debug)]
pub(super) struct OriginQuestion {
    service: PoolName,
    stream: Option<StreamId>,
    /// The node that was asked; `None` until the owners are known.
    keeper: Option<SocketAddr>,
    reply: Sender<OriginAnswer>,
}

/// Who waits for an answer of this node as keeper.
#[derive(Debug, Clone, Copy)]
enum Asker {
    Own(u64),
    Peer(LinkNumber, u64),
}

/// A question that waits until this node has read what others have saved.
#[derive(Debug)]
struct WaitingQuestion {
    asker: Asker,
    service: PoolName,
    stream: Option<StreamId>,
    until: Time,
}

/// The state of the origins at the dispatcher's task.
#[derive(Debug, Default)]
pub(super) struct OriginState {
    /// Questions of this node's requests, by number.
    questions: BTreeMap<u64, OriginQuestion>,
    waiting: Vec<WaitingQuestion>,
    /// Whether a read of the saved origins is in flight.
    loading: bool,
    /// The position from which to read saved origins.
    next: Position,
    saving: bool,
    save_from: Time,
    recording: bool,
    record_from: Time,
}

impl OriginState {
    /// Returns when something is due; [`Time::NEVER`] if nothing is.
    pub(super) fn wake(&self, shared: &Shared) -> Time {
        let waiting = self.waiting.iter().map(|w| w.until);
        let next_save = if self.saving {
            Time::NEVER
        } else {
            shared.origins().next_save().max(self.save_from)
        };
        waiting.min().unwrap_or(Time::NEVER).min(next_save)
    }

    /// Returns whether a question waits until the owners are known.
    pub(super) fn has_unasked(&self) -> bool {
        self.questions.values().any(|q| q.keeper.is_none())
    }
}

impl State {
    /// Finds out where a stream began that this node did not begin.
    pub(super) fn find_origin(
        &mut self,
        number: u64,
        (service, stream): (PoolName, Option<StreamId>),
        reply: Sender<OriginAnswer>,
    ) {
        let question = OriginQuestion {
            service,
            stream,
            keeper: None,
            reply,
        };
        self.origins.questions.insert(number, question);
        self.ask_keeper(number);
    }

    fn ask_keeper(&mut self, number: u64) {
        if !self.shared.knows_owners() {
            return;
        }
        let now = self.shared.now();
        let Some(question) = self.origins.questions.get_mut(&number) else {
            return;
        };
        // Any keeper can tell whether there is a sole version.
        let subject = question.stream.unwrap_or(StreamId(0));
        let own = self.shared.settings.listen.peers;
        let keepers = self.shared.owners().origin_keepers(now);
        let keeper = keepers.first(subject).unwrap_or(own);
        question.keeper = Some(keeper);
        let (service, stream) = (question.service.clone(), question.stream);
        if keeper == own {
            self.answer_origin(Asker::Own(number), service, stream);
            return;
        }
        // If the link is not up yet, `ask_again` sends the question.
        self.send(keeper, Body::OriginAsk(ask_frame(number, &service, stream)));
    }

    /// Asks again what a node may not have received, or will not answer.
    pub(super) fn ask_again(&mut self, peer: SocketAddr) {
        let asked = self.origins.questions.iter();
        let asked = asked.filter(|(_, q)| q.keeper == Some(peer));
        let numbers: Vec<u64> = asked.map(|(&n, _)| n).collect();
        for number in numbers {
            self.ask_keeper(number);
        }
    }

    fn finish_question(&mut self, number: u64, answer: OriginAnswer) {
        if let Some(question) = self.origins.questions.remove(&number) {
            let _gone = question.reply.try_send(answer);
        }
    }

    pub(super) fn handle_origin_reply(&mut self, frame: OriginReply) {
        let answer = match frame.origin {
            Some(origin_reply::Origin::Known(group)) => {
                group
                    .service
                    .parse()
                    .map_or(OriginAnswer::Unknown, |service| {
                        OriginAnswer::Known(Origin {
                            service,
                            version: SoftwareVersion::from(group.version.as_str()),
                        })
                    })
            }
            Some(origin_reply::Origin::Sole(version)) => {
                OriginAnswer::Sole(SoftwareVersion::from(version.as_str()))
            }
            None => OriginAnswer::Unknown,
        };
        self.finish_question(frame.number, answer);
    }

    pub(super) fn handle_origin_ask(&mut self, link: LinkNumber, frame: &OriginAsk) {
        let asker = Asker::Peer(link, frame.number);
        match frame.service.parse() {
            Ok(service) => self.answer_origin(asker, service, frame.stream.map(StreamId)),
            Err(_malformed) => self.reply_origin(asker, OriginAnswer::Unknown),
        }
    }

    /// Answers a question as keeper, at once or after a read of what others have
    /// saved.
    fn answer_origin(&mut self, asker: Asker, service: PoolName, stream: Option<StreamId>) {
        let answer = self.known_answer(&service, stream);
        if answer != OriginAnswer::Unknown || stream.is_none() {
            self.reply_origin(asker, answer);
            return;
        }
        self.origins.waiting.push(WaitingQuestion {
            asker,
            service,
            stream,
            until: self.shared.now() + LOAD_WAIT,
        });
        self.load_origins();
    }

    fn known_answer(&self, service: &PoolName, stream: Option<StreamId>) -> OriginAnswer {
        let now = self.shared.now();
        let current = self.shared.directory().versions(service);
        let polling = *self.shared.registry_polling();
        let is_stale = polling.is_stale(now, ReplicaKind::Endpoints);
        let origins = self.shared.origins();
        origins.answer(now, stream, (service, &current), is_stale)
    }

    fn reply_origin(&mut self, asker: Asker, answer: OriginAnswer) {
        match asker {
            Asker::Own(number) => {
                self.finish_question(number, answer);
            }
            Asker::Peer(link, number) => {
                if let Some(inbound) = self.inbound.get(&link) {
                    let frame = reply_frame(number, answer);
                    let _full = inbound.sender.send(Body::OriginReply(frame));
                }
            }
        }
    }

    /// Starts to read the origins that nodes have saved since the last read.
    fn load_origins(&mut self) {
        if std::mem::replace(&mut self.origins.loading, true) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let inbox = self.inbox.clone();
        let from = self.origins.next;
        self.scope.spawn(async move {
            let read = shared.registry.read_origins(from).await;
            let _closed = inbox.try_send(Message::OriginsLoaded(read));
        });
    }

    pub(super) fn handle_origins_loaded(
        &mut self,
        read: Result<(Vec<Bytes>, Position), RegistryError>,
    ) {
        self.origins.loading = false;
        match read {
            Ok((records, next)) => {
                self.origins.next = next;
                let now = self.shared.now();
                let mut origins = self.shared.origins();
                let mut loaded = 0_usize;
                for (stream, origin) in records.iter().flat_map(|r| decode_origins(r)) {
                    origins.on_loaded(now, stream, origin);
                    loaded += 1;
                }
                drop(origins);
                log::info!(event = "stream-origins-read", streams = loaded, records = records.len(), next = next.to_string().as_str(); "");
            }
            Err(error) => {
                log::warn!(event = "registry-failed", topic = "origins", call = "read", why = error.to_string().as_str(); "");
            }
        }
        for waiting in std::mem::take(&mut self.origins.waiting) {
            let answer = self.known_answer(&waiting.service, waiting.stream);
            self.reply_origin(waiting.asker, answer);
        }
    }

    pub(super) fn handle_streams_begun(&mut self, frame: &StreamsBegun) {
        let now = self.shared.now();
        let mut origins = self.shared.origins();
        for (stream, origin) in origins_of(frame) {
            origins.keep(now, stream, origin);
        }
    }

    /// Handles a link that was closed: what was sent over it may be lost.
    pub(super) fn handle_keeper_lost(&mut self, peer: SocketAddr) {
        self.shared.origins().on_link_lost(peer);
        self.ask_again(peer);
    }

    /// Reports streams to their keepers as far as their services need it.
    pub(super) fn report_streams(&mut self) {
        let now = self.shared.now();
        let kept = self.shared.tracked_services();
        if kept.is_empty() {
            return;
        }
        let own = self.shared.settings.listen.peers;
        let mut unlinked = BTreeSet::new();
        let keepers = self.shared.owners().origin_keepers(now);
        let can_report = |node: SocketAddr| {
            let is_up = self.peers.get(&node).is_some_and(|p| p.sender.is_some());
            if node != own && !is_up {
                unlinked.insert(node);
            }
            node == own || is_up
        };
        let is_needed = |service: &PoolName| kept.contains(service);
        let mut origins = self.shared.origins();
        let unreported = origins.take_unreported(now, is_needed, &keepers, can_report);
        drop(origins);
        for (node, streams) in unreported {
            if node == own {
                let mut origins = self.shared.origins();
                for (stream, origin) in streams {
                    origins.keep(now, stream, origin);
                }
            } else {
                self.send(node, Body::StreamsBegun(begun_frame(&streams)));
            }
        }
        for node in unlinked {
            if !self.peers.contains_key(&node) {
                self.open_link(node);
            }
        }
    }

    /// Requeues streams whose keeper has changed, and repeats questions that
    /// could not be asked.
    pub(super) fn review_keepers(&mut self, now: Time) {
        if !self.shared.tracked_services().is_empty() {
            let keepers = self.shared.owners().origin_keepers(now);
            self.shared.origins().requeue_moved(&keepers);
        }
        self.origins.questions.retain(|_, q| !q.reply.is_closed());
        self.report_streams();
    }

    /// Does what is due: questions, saves, and the record of versions.
    pub(super) fn process_origins(&mut self, now: Time) {
        if self.origins.has_unasked() {
            let questions = self.origins.questions.iter();
            let unasked = questions.filter(|(_, q)| q.keeper.is_none());
            let numbers: Vec<u64> = unasked.map(|(&n, _)| n).collect();
            for number in numbers {
                self.ask_keeper(number);
            }
        }
        let late = |w: &mut WaitingQuestion| w.until <= now;
        let late: Vec<_> = self.origins.waiting.extract_if(.., late).collect();
        for waiting in late {
            self.reply_origin(waiting.asker, OriginAnswer::Unknown);
        }
        self.save_origins(now);
    }

    /// Starts to save the origins that this node keeps, if it is time.
    fn save_origins(&mut self, now: Time) {
        let due = self.shared.origins().next_save();
        if self.origins.saving || now < due.max(self.origins.save_from) {
            return;
        }
        if self.shared.registry_polling().cannot_read(now) {
            self.origins.save_from = now + SAVE_PAUSE;
            return;
        }
        let kept = self.shared.tracked_services();
        let own = self.shared.settings.listen.peers;
        let keepers = self.shared.owners().origin_keepers(now);
        let is_first = |stream| keepers.first(stream) == Some(own);
        let is_needed = |service: &PoolName| kept.contains(service);
        let mut origins = self.shared.origins();
        let streams = origins.take_unsaved(now, is_needed, is_first);
        drop(origins);
        if streams.is_empty() {
            return;
        }
        self.origins.saving = true;
        let value = Bytes::from(begun_frame(&streams).encode_to_vec());
        let shared = Arc::clone(&self.shared);
        let inbox = self.inbox.clone();
        self.scope.spawn(async move {
            let saved = shared.registry.append_origins(value).await;
            let streams = streams.into_iter().map(|(stream, _)| stream).collect();
            let _closed = inbox.try_send(Message::OriginsSaved { streams, saved });
        });
    }

    pub(super) fn handle_origins_saved(&mut self, streams: Vec<StreamId>, saved: bool) {
        self.origins.saving = false;
        metrics::counter!("snipeyoke_saved_origins_total", "result" => if saved { "saved" } else { "failed" })
            .increment(streams.len() as u64);
        if !saved {
            log::warn!(event = "stream-origins-unsaved", streams = streams.len(), remedy = "check the registry; they are saved again"; "");
            self.origins.save_from = self.shared.now() + SAVE_PAUSE;
            self.shared.origins().on_save_failed(streams);
        }
    }

    /// Starts to record the versions of all services, if they have changed and
    /// this node records them.
    pub(super) fn record_versions(&mut self, now: Time) {
        if self.origins.recording || now < self.origins.record_from || !self.shared.knows_owners() {
            return;
        }
        self.origins.record_from = now + RECORD_CHECK_INTERVAL;
        let keepers = self.shared.owners().origin_keepers(now);
        if keepers.recorder() != Some(self.shared.settings.listen.peers) {
            return;
        }
        let current = self.shared.current_versions();
        let usable = self.shared.usable_versions();
        let sets = self
            .shared
            .origins()
            .versions_to_record(now, &current, &usable);
        let Some(sets) = sets else {
            return;
        };
        self.origins.record_from = now + RECORD_INTERVAL;
        self.origins.recording = true;
        let shared = Arc::clone(&self.shared);
        let inbox = self.inbox.clone();
        self.scope.spawn(async move {
            let recorded = shared.registry.write_versions(&sets).await;
            let _closed = inbox.try_send(Message::VersionsRecorded { sets, recorded });
        });
    }

    pub(super) fn handle_versions_recorded(&mut self, sets: VersionSets, recorded: bool) {
        self.origins.recording = false;
        if recorded {
            log::info!(event = "versions-recorded", versions = describe(&sets).as_str(); "");
            let now = self.shared.now();
            self.announce_versions(now, &sets);
            self.shared.origins().apply_record(now, sets);
            // New streams may wait for these versions.
            self.shared.endpoints_changed.notify(usize::MAX);
        } else {
            self.shared.origins().on_record_failed();
        }
    }

    /// Tells all nodes which versions are recorded, so that new ones get streams.
    fn announce_versions(&mut self, now: Time, sets: &VersionSets) {
        let mixed = sets.iter().filter(|(_, versions)| versions.len() > 1);
        let services: Vec<ServiceVersions> = mixed
            .map(|(service, versions)| ServiceVersions {
                service: service.to_string(),
                versions: versions.iter().map(|v| v.as_str().to_owned()).collect(),
            })
            .collect();
        if services.is_empty() {
            return;
        }
        let nodes: Vec<SocketAddr> = self.shared.owners().live(now).map(|(a, _)| a).collect();
        for node in nodes {
            let services = services.clone();
            // A node without a link reads the record itself.
            self.send(node, Body::VersionsRecorded(VersionsRecorded { services }));
        }
    }

    pub(super) fn handle_recorded_versions(&self, frame: &VersionsRecorded) {
        let now = self.shared.now();
        let mut origins = self.shared.origins();
        for told in &frame.services {
            let Ok(service) = told.service.parse::<PoolName>() else {
                continue;
            };
            for version in &told.versions {
                let version = SoftwareVersion::from(version.as_str());
                origins.record_open(now, &service, &version);
            }
        }
        drop(origins);
        self.shared.endpoints_changed.notify(usize::MAX);
    }
}

fn describe(sets: &VersionSets) -> String {
    let texts = sets.iter().map(|(service, versions)| {
        let versions: Vec<String> = versions.iter().map(ToString::to_string).collect();
        format!("{service}:{}", versions.join("+"))
    });
    texts.collect::<Vec<_>>().join(",")
}

fn ask_frame(number: u64, service: &PoolName, stream: Option<StreamId>) -> OriginAsk {
    OriginAsk {
        number,
        service: service.to_string(),
        stream: stream.map(|s| s.0),
    }
}

fn reply_frame(number: u64, answer: OriginAnswer) -> OriginReply {
    let origin = match answer {
        OriginAnswer::Known(origin) => Some(origin_reply::Origin::Known(StreamGroup {
            service: origin.service.to_string(),
            version: origin.version.as_str().to_owned(),
            streams: Vec::new(),
        })),
        OriginAnswer::Sole(version) => {
            Some(origin_reply::Origin::Sole(version.as_str().to_owned()))
        }
        OriginAnswer::Unknown => None,
    };
    OriginReply { number, origin }
}

fn begun_frame(streams: &[(StreamId, Origin)]) -> StreamsBegun {
    let mut groups: BTreeMap<&Origin, Vec<u64>> = BTreeMap::new();
    for (stream, origin) in streams {
        groups.entry(origin).or_default().push(stream.0);
    }
    let groups = groups.into_iter().map(|(origin, streams)| StreamGroup {
        service: origin.service.to_string(),
        version: origin.version.as_str().to_owned(),
        streams,
    });
    StreamsBegun {
        groups: groups.collect(),
    }
}

fn origins_of(frame: &StreamsBegun) -> Vec<(StreamId, Origin)> {
    let mut all = Vec::new();
    for group in &frame.groups {
        let Ok(service) = group.service.parse::<PoolName>() else {
            log::warn!(event = "stream-origins-unreadable", service = group.service.as_str(), remedy = "run the same release on all nodes"; "");
            continue;
        };
        let origin = Origin {
            service,
            version: SoftwareVersion::from(group.version.as_str()),
        };
        all.extend(group.streams.iter().map(|&s| (StreamId(s), origin.clone())));
    }
    all
}

/// Decodes a record of saved origins; one of another writer has none.
fn decode_origins(record: &[u8]) -> Vec<(StreamId, Origin)> {
    match StreamsBegun::decode(record) {
        Ok(frame) => origins_of(&frame),
        Err(error) => {
            log::warn!(event = "stream-origins-unreadable", error = error.to_string().as_str(), remedy = "look for another writer of the registry's topic"; "");
            Vec::new()
        }
    }
}

impl super::Dispatcher {
    /// Asks the keeper of a stream where it began.
    pub(crate) fn find_origin(
        &self,
        service: PoolName,
        stream: Option<StreamId>,
    ) -> async_channel::Receiver<OriginAnswer> {
        let number = self.next_number();
        let (reply, answer) = async_channel::bounded(1);
        self.send(Message::FindOrigin {
            number,
            service,
            stream,
            reply,
        });
        answer
    }

    /// Notifies the task that this node has begun a stream that has to be kept.
    pub(crate) fn stream_begun(&self) {
        self.send(Message::StreamBegun);
    }
}
