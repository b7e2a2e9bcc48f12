//! Bookings of a model's endpoints, on the requesting and the booking side.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::SoftwareVersion;
use snipeyoke_lib::serving::bookings::BookingId;
use snipeyoke_lib::serving::bookings::Bookings;
use snipeyoke_lib::serving::bookings::LeadingPrefix;
use snipeyoke_lib::serving::bookings::PREFIX_RETENTION;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::bookings::ReadingWork;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_lib::serving::cold_start::AdmitterRank;
use snipeyoke_lib::serving::directory::VersionRule;
use snipeyoke_lib::serving::endpoint_speed::Contention;
use snipeyoke_lib::serving::prefix_sources::PrefixSource;
use snipeyoke_lib::serving::rate_limit::NamedRate;
use snipeyoke_lib::serving::rate_limit::RateNotice;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_wire::PlaceAsk;
use snipeyoke_wire::PlaceNote;
use snipeyoke_wire::Placed;
use snipeyoke_wire::frame::Body;
use snipeyoke_wire::place_note;

use super::Dispatcher;
use super::convert;
use super::messages::LinkNumber;
use super::messages::Message;
use super::run::State;
use crate::prefix_fetch;
use crate::speeds::FirstEventSpeed;

/// The link number of this node's own bookings; inbound links begin at 1.
const OWN_LINK: u64 = 0;

/// A request of this node and the node that books its endpoint.
#[derive(Debug)]
pub(super) struct Placement {
    service: PoolName,
    shard: Shard,
    booker: SocketAddr,
    /// The channel on which the request waits for the endpoint, until it is sent.
    reply: Option<Sender<Option<PlacedRequest>>>,
}

/// The endpoint of a request, what that has to read for it, and the source from which it
/// fetches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlacedRequest {
    pub(crate) endpoint: EndpointId,
    pub(crate) work: ReadingWork,
    pub(crate) source: Option<PrefixSource>,
}

/// A change in the state of a booked request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum BookingEvent {
    /// The first event of its response arrived.
    FirstEvent {
        /// The ratio of the elapsed to the expected time.
        pace: f32,
        /// What the response shows of the speed of its endpoint, if anything.
        speed: Option<FirstEventSpeed>,
    },
    /// The response says something new about the rate of its endpoint.
    RateNotice(RateNotice),
    /// The request ended.
    Ended {
        /// Whether its endpoint failed.
        failed: bool,
    },
}

/// A request's booking; dropping it ends the booking.
#[derive(Debug)]
pub(crate) struct Booking {
    dispatcher: Dispatcher,
    number: u64,
    failed: bool,
    source: Option<PrefixSource>,
    /// What the endpoint has to read for the request, once it is known.
    work: Option<ReadingWork>,
}

impl Booking {
    pub(super) const fn new(dispatcher: Dispatcher, number: u64) -> Self {
        Self {
            dispatcher,
            number,
            failed: false,
            source: None,
            work: None,
        }
    }

    pub(crate) fn set_source(&mut self, source: Option<PrefixSource>) {
        self.source = source;
    }

    /// Returns the source that was named for the request.
    pub(crate) const fn source(&self) -> Option<&PrefixSource> {
        self.source.as_ref()
    }

    /// Records that the first event arrived, after `pace` times the expected time.
    pub(crate) fn first_event(&self, pace: f32, speed: Option<FirstEventSpeed>) {
        self.send(BookingEvent::FirstEvent { pace, speed });
    }

    pub(crate) const fn set_work(&mut self, work: ReadingWork) {
        self.work = Some(work);
    }

    /// Returns what the endpoint had to read for the request.
    pub(crate) const fn work(&self) -> Option<ReadingWork> {
        self.work
    }

    /// Reports what the response says about the rate of its endpoint.
    pub(crate) fn rate_notice(&self, notice: RateNotice) {
        self.send(BookingEvent::RateNotice(notice));
    }

    /// Records that the endpoint failed.
    pub(crate) const fn mark_failed(&mut self) {
        self.failed = true;
    }

    fn send(&self, event: BookingEvent) {
        let number = self.number;
        self.dispatcher
            .send(Message::BookingEvent { number, event });
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        let failed = self.failed;
        self.send(BookingEvent::Ended { failed });
    }
}

impl State {
    /// Requests an endpoint; `reply` gets `None` if this node has to choose.
    pub(super) fn request_placement(
        &mut self,
        number: u64,
        service: PoolName,
        mut request: PlacementRequest,
        reply: Sender<Option<PlacedRequest>>,
    ) {
        let now = self.shared.now();
        let directory = self.shared.directory();
        let prefix = request.prefix.unwrap_or(number);
        let shard = match (&request.only, &request.versions) {
            (Some(endpoint), _) => directory.shard_of(&service, endpoint),
            (None, versions @ VersionRule::At(_)) => {
                directory.version_shard(now, &service, (prefix, versions))
            }
            (None, _) => directory.shard(&service, prefix),
        };
        drop(directory);
        let booker = self.shared.owners().booking_owner(now, &service, shard);
        let before = self
            .last_bookers
            .insert((service.clone(), shard), (booker, now));
        request.moved =
            before.is_some_and(|(node, at)| node != booker && now.since(at) < PREFIX_RETENTION);
        let placement = Placement {
            service,
            shard,
            booker,
            reply: Some(reply),
        };
        if booker == self.shared.settings.listen.peers {
            let id = BookingId {
                link: OWN_LINK,
                number,
            };
            let endpoint = self.book(&placement.service, shard, id, &request);
            let placed = endpoint.map(|endpoint| PlacedRequest {
                endpoint,
                source: self.prefix_source(id),
                work: self.work_of(id),
            });
            self.placements.insert(number, placement);
            self.reply_placement(number, placed);
            return;
        }
        let rates = self.shared.rates_of(&placement.service);
        let frame = PlaceAsk {
            rates,
            ..place_frame(number, &placement, request)
        };
        let up = self.peers.get(&booker).is_some_and(|p| p.sender.is_some());
        self.placements.insert(number, placement);
        // Without a link, this only opens one for the next request.
        self.send(booker, Body::PlaceAsk(frame));
        if !up {
            self.reply_placement(number, None);
        }
    }

    /// Sends an endpoint to the request that waits for it.
    fn reply_placement(&mut self, number: u64, placed: Option<PlacedRequest>) {
        let placement = self.placements.get_mut(&number);
        if let Some(reply) = placement.and_then(|p| p.reply.take()) {
            let _gone = reply.try_send(placed);
        }
    }

    pub(super) fn handle_placed(&mut self, peer: SocketAddr, placed: &Placed) {
        self.shared.on_rate_news(placed.rate.as_slice(), peer);
        let endpoint = placed.endpoint.parse().ok();
        let request = endpoint.map(|endpoint| PlacedRequest {
            endpoint,
            work: ReadingWork {
                ahead_tokens: placed.ahead,
                unread_tokens: placed.unread,
            },
            source: convert::source_of(placed),
        });
        self.reply_placement(placed.number, request);
    }

    /// Has this node choose for all requests that wait for a lost node.
    pub(super) fn decline_placements(&mut self, booker: SocketAddr) {
        let affected = self.placements.iter().filter(|(_, p)| p.booker == booker);
        let numbers: Vec<u64> = affected.map(|(&n, _)| n).collect();
        for number in numbers {
            self.reply_placement(number, None);
        }
    }

    pub(super) fn handle_booking_event(&mut self, number: u64, event: BookingEvent) {
        let ended = matches!(event, BookingEvent::Ended { .. });
        let Some(placement) = self.placements.get(&number) else {
            return;
        };
        if placement.booker == self.shared.settings.listen.peers {
            let id = BookingId {
                link: OWN_LINK,
                number,
            };
            let bookings = self
                .bookings
                .get_mut(&(placement.service.clone(), placement.shard));
            if let Some(bookings) = bookings {
                // This node has already updated its endpoints' health.
                let _endpoint = match event {
                    BookingEvent::FirstEvent { .. } => bookings.on_prompt_read(id).cloned(),
                    BookingEvent::RateNotice(_) => None,
                    BookingEvent::Ended { .. } => bookings.end(id),
                };
            }
        } else {
            let frame = note_frame(number, event);
            let booker = placement.booker;
            if self.peers.contains_key(&booker) {
                self.send(booker, Body::PlaceNote(frame));
            }
        }
        if ended {
            self.placements.remove(&number);
        }
    }

    fn book(
        &mut self,
        service: &PoolName,
        shard: Shard,
        id: BookingId,
        request: &PlacementRequest,
    ) -> Option<EndpointId> {
        let now = self.shared.now();
        let key = (service.clone(), shard);
        if !self.bookings.contains_key(&key) {
            log::info!(event = "bookings-owned", service = service.as_str(), part = shard.index, parts = shard.count; "");
        }
        let cold_share = self.cold_share(service, Some(shard));
        let fetch_terms = self.shared.fetch_terms(service);
        let was_known = self.shared.owners().is_known_before();
        let granter = self.granter(service, Some(shard));
        let bookings = self.bookings.entry(key).or_insert_with(|| {
            let mut bookings = Bookings::default();
            if was_known {
                bookings.mark_taken_over();
            }
            bookings
        });
        bookings.set_cold_share(cold_share);
        bookings.set_fetch_terms(fetch_terms);
        if let Some((rank, uses)) = granter {
            bookings.set_granter(rank, uses);
        }
        let directory = self.shared.directory();
        let endpoint = bookings.place(now, &directory, (service, shard), id, request);
        drop(directory);
        if let Some(tokens) = bookings.prompt_tokens(id) {
            prefix_fetch::record_tokens(tokens);
        }
        for held_back in bookings.take_held_back() {
            self.shared.record_held_back(&held_back);
        }
        endpoint
    }

    /// Returns the source from which a request that was just booked fetches.
    fn prefix_source(&self, id: BookingId) -> Option<PrefixSource> {
        let mut found = self.bookings.values().filter_map(|b| b.prefix_source(id));
        found.next().cloned()
    }

    /// Returns what the endpoint of a booked request had to read for it.
    fn work_of(&self, id: BookingId) -> ReadingWork {
        let mut booked = self.bookings.values();
        let booked = booked.find_map(|b| b.booked_request(id));
        booked.map(|b| b.work).unwrap_or_default()
    }

    /// Returns this node's rank among those that grant requests to the endpoints
    /// of a service, or of one of its shards, and the number of places that do so
    /// for the same endpoints; `None` if no endpoint names a rate.
    pub(super) fn granter(
        &self,
        service: &PoolName,
        shard: Option<Shard>,
    ) -> Option<(Option<AdmitterRank>, u32)> {
        // The rank takes a hash of each node, and most services have no limits.
        if !self.shared.directory().has_limits(service) {
            return None;
        }
        let now = self.shared.now();
        let owners = self.shared.owners();
        let rank = match shard {
            Some(shard) => owners.shard_granter_rank(now, service, shard),
            None => owners.batch_granter_rank(now, service),
        };
        let catalog = self.shared.catalog.get();
        let catalog = catalog.as_ref().as_ref();
        let has_two_uses = catalog.is_some_and(|c| c.has_two_uses(service));
        Some((rank, if has_two_uses { 2 } else { 1 }))
    }

    /// Returns the calls per second that this node may admit to a cold endpoint
    /// of a service, or of one of its shards; `None` if there is no limit.
    pub(super) fn cold_share(&self, service: &PoolName, shard: Option<Shard>) -> Option<usize> {
        let catalog = self.shared.catalog.get();
        let found = catalog.as_ref().as_ref()?.service(service)?;
        let cold_start = found.cold_start?;
        let now = self.shared.now();
        // A node without a recent replica may know neither the endpoints that are cold nor
        // the nodes that admit calls to them.
        if self
            .shared
            .registry_polling()
            .is_stale(now, ReplicaKind::Endpoints)
        {
            return Some(0);
        }
        let owners = self.shared.owners();
        let rank = match shard {
            Some(shard) => owners.shard_admitter_rank(now, service, shard),
            None => owners.batch_admitter_rank(now, service),
        };
        let bound = self.shared.settings.cold;
        Some(rank.map_or(0, |rank| bound.share(cold_start, rank)))
    }

    pub(super) fn handle_place_request(&mut self, link: LinkNumber, frame: &PlaceAsk) {
        let number = frame.number;
        let id = BookingId {
            link: link.0 + 1,
            number,
        };
        let shard = Shard {
            index: frame.shard,
            count: frame.shards,
        };
        let source = self.inbound.get(&link).and_then(|l| l.node);
        let source = source.unwrap_or(self.shared.settings.listen.peers);
        self.shared.on_rate_news(&frame.rates, source);
        let endpoint = frame.service.parse::<PoolName>().ok().and_then(|service| {
            let versions = match &frame.version {
                Some(version) => VersionRule::At(SoftwareVersion::from(version.as_str())),
                None if frame.new_stream => self.shared.new_stream_rule(&service),
                None => VersionRule::Any,
            };
            let request = request_of(frame, versions);
            self.book(&service, shard, id, &request)
        });
        let source = self.prefix_source(id).filter(|_| endpoint.is_some());
        let work = self.work_of(id);
        let placed = Placed {
            number,
            rate: endpoint.as_ref().and_then(|e| self.shared.rate_of(e)),
            ahead: work.ahead_tokens,
            unread: work.unread_tokens,
            endpoint: endpoint.map(|e| e.to_string()).unwrap_or_default(),
            ..convert::source_frame(source)
        };
        if let Some(inbound) = self.inbound.get(&link) {
            let _full = inbound.sender.send(Body::Placed(placed));
        }
    }

    pub(super) fn handle_place_note(&mut self, link: LinkNumber, note: &PlaceNote) {
        let now = self.shared.now();
        let id = BookingId {
            link: link.0 + 1,
            number: note.number,
        };
        if let Some(notice) = rate_notice_of(note) {
            let booked = self.bookings.values().find_map(|b| b.booked(id));
            let booked = booked.map(|(endpoint, since)| (endpoint.clone(), since));
            if let Some((endpoint, since)) = booked {
                self.shared.on_rate_notice(&endpoint, since, notice);
            }
            return;
        }
        let speed = first_event_speed(note);
        for (key, bookings) in &mut self.bookings {
            let booked = speed.and_then(|s| Some((s, bookings.booked_request(id)?)));
            let endpoint = if note.ended {
                bookings.end(id)
            } else {
                bookings.on_prompt_read(id).cloned()
            };
            let Some(endpoint) = endpoint else {
                continue;
            };
            if let Some(health) = self.shared.directory().health_mut(&endpoint) {
                if let Some(pace) = note.pace {
                    health.record_response(now, pace as f32 / 100.0);
                }
                if note.failed {
                    health.record_failure(now);
                }
            }
            if let Some((speed, booked)) = booked {
                self.shared.on_booked_first_event(&key.0, &booked, speed);
            }
            return;
        }
    }
}

fn place_frame(number: u64, placement: &Placement, request: PlacementRequest) -> PlaceAsk {
    PlaceAsk {
        number,
        service: placement.service.to_string(),
        shard: placement.shard.index,
        shards: placement.shard.count,
        prefix: request.prefix,
        shared: request.shared_tokens,
        own: request.own_tokens,
        domain: request
            .input_domain
            .map(|d| d.to_string())
            .unwrap_or_default(),
        afar: request.remote_cost,
        avoid: request.avoid.iter().map(ToString::to_string).collect(),
        homes: convert::home_names(&request.homes),
        leading: request.leading.iter().map(|p| p.hash).collect(),
        leading_tokens: request.leading.iter().map(|p| p.tokens).collect(),
        moved: request.moved,
        only: request.only.map(|e| e.to_string()).unwrap_or_default(),
        version: match &request.versions {
            VersionRule::At(version) => Some(version.as_str().to_owned()),
            VersionRule::Any | VersionRule::NewStream { .. } => None,
        },
        new_stream: matches!(request.versions, VersionRule::NewStream { .. }),
        resting: request.resting.iter().map(ToString::to_string).collect(),
        rates: Vec::new(),
    }
}

fn request_of(frame: &PlaceAsk, versions: VersionRule) -> PlacementRequest {
    let leading = frame.leading.iter().zip(&frame.leading_tokens);
    let leading = leading.map(|(&hash, &tokens)| LeadingPrefix { hash, tokens });
    PlacementRequest {
        leading: leading.collect(),
        prefix: frame.prefix,
        shared_tokens: frame.shared,
        own_tokens: frame.own,
        input_domain: frame.domain.parse().ok(),
        remote_cost: frame.afar,
        avoid: frame.avoid.iter().filter_map(|e| e.parse().ok()).collect(),
        resting: frame
            .resting
            .iter()
            .filter_map(|e| e.parse().ok())
            .collect(),
        homes: convert::homes_of(&frame.homes),
        moved: frame.moved,
        only: frame.only.parse().ok(),
        versions,
    }
}

fn note_frame(number: u64, event: BookingEvent) -> PlaceNote {
    let note = PlaceNote {
        number,
        ..PlaceNote::default()
    };
    match event {
        BookingEvent::FirstEvent { pace, speed } => PlaceNote {
            pace: Some((pace * 100.0) as u32),
            contention: speed.map(|s| s.contention.hundredths()),
            contention_age_ms: speed.map_or(0, |s| millis(s.age)),
            first_event_ms: speed.map(|s| millis(s.elapsed)),
            ..note
        },
        BookingEvent::RateNotice(notice) => PlaceNote {
            rate_notice: match notice {
                RateNotice::Limited(rate) => Some(place_note::RateNotice::Rate(rate.per_second())),
                RateNotice::Unlimited => Some(place_note::RateNotice::Unlimited(true)),
                RateNotice::Malformed(_) => None,
            },
            ..note
        },
        BookingEvent::Ended { failed } => PlaceNote {
            ended: true,
            failed,
            ..note
        },
    }
}

fn rate_notice_of(note: &PlaceNote) -> Option<RateNotice> {
    let notice = match note.rate_notice? {
        place_note::RateNotice::Unlimited(_) => RateNotice::Unlimited,
        place_note::RateNotice::Rate(rate) => match NamedRate::try_from(rate) {
            Ok(rate) => RateNotice::Limited(rate),
            Err(error) => RateNotice::Malformed(error),
        },
    };
    Some(notice)
}

fn first_event_speed(note: &PlaceNote) -> Option<FirstEventSpeed> {
    Some(FirstEventSpeed {
        contention: Contention::try_from(note.contention?).ok()?,
        age: Duration::from_millis(note.contention_age_ms.into()),
        elapsed: Duration::from_millis(note.first_event_ms?.into()),
    })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
