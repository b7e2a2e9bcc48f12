//! Bookings of a model's endpoints, on both sides.

use std::net::SocketAddr;

use async_channel::Sender;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::bookings::BookingId;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::bookings::Shard;
use snipeyoke_wire::PlaceAsk;
use snipeyoke_wire::PlaceNote;
use snipeyoke_wire::Placed;
use snipeyoke_wire::frame::Body;

use super::Dispatcher;
use super::messages::LinkNumber;
use super::messages::Message;
use super::run::State;

/// The link number of this node's own bookings; those of others begin at 1.
const OWN: u64 = 0;

/// A request of this node that is booked at some node.
#[derive(Debug)]
pub(super) struct Place {
    service: PoolName,
    shard: Shard,
    booker: SocketAddr,
    /// Where the endpoint is awaited, until it is known.
    reply: Option<Sender<Option<EndpointId>>>,
}

/// What became of a booked request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Note {
    /// Its first event came after so many times the expected time.
    Begun {
        /// The ratio.
        pace: f32,
    },
    /// It has ended.
    Ended {
        /// Whether its endpoint failed.
        failed: bool,
    },
}

/// A request's booking, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Booking {
    dispatcher: Dispatcher,
    number: u64,
    failed: bool,
}

impl Booking {
    pub(super) const fn new(dispatcher: Dispatcher, number: u64) -> Self {
        Self {
            dispatcher,
            number,
            failed: false,
        }
    }

    /// Notes that the first event came, after `pace` times the expected time.
    pub(crate) fn first_event(&self, pace: f32) {
        self.tell(Note::Begun { pace });
    }

    /// Notes that the endpoint failed.
    pub(crate) const fn mark_failed(&mut self) {
        self.failed = true;
    }

    fn tell(&self, note: Note) {
        let number = self.number;
        self.dispatcher.tell(Message::Noted { number, note });
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        let failed = self.failed;
        self.tell(Note::Ended { failed });
    }
}

impl State {
    /// Asks for an endpoint; `reply` gets `None` if this node has to choose.
    pub(super) fn place(
        &mut self,
        number: u64,
        service: PoolName,
        wish: PlacementRequest,
        reply: Sender<Option<EndpointId>>,
    ) {
        let now = self.shared.now();
        let shard = self
            .shared
            .directory()
            .shard(&service, wish.prefix.unwrap_or(number));
        let booker = self.shared.owners().booking_owner(now, &service, shard);
        let place = Place {
            service,
            shard,
            booker,
            reply: Some(reply),
        };
        if booker == self.shared.settings.listen.peers {
            let id = BookingId { link: OWN, number };
            let endpoint = self.book(&place.service, shard, id, &wish);
            self.places.insert(number, place);
            self.placed(number, endpoint);
            return;
        }
        let ask = ask_frame(number, &place, wish);
        let up = self.peers.get(&booker).is_some_and(|p| p.sender.is_some());
        self.places.insert(number, place);
        // Without a link yet it only begins one, for the next request.
        self.send(booker, Body::PlaceAsk(ask));
        if !up {
            self.placed(number, None);
        }
    }

    /// Hands an endpoint to the request that asked for it.
    fn placed(&mut self, number: u64, endpoint: Option<EndpointId>) {
        let place = self.places.get_mut(&number);
        if let Some(reply) = place.and_then(|p| p.reply.take()) {
            let _gone = reply.try_send(endpoint);
        }
    }

    pub(super) fn answered_place(&mut self, placed: &Placed) {
        self.placed(placed.number, placed.endpoint.parse().ok());
    }

    /// Has this node choose for all that wait for a node that is lost.
    pub(super) fn lost_booker(&mut self, booker: SocketAddr) {
        let theirs = self.places.iter().filter(|(_, p)| p.booker == booker);
        let numbers: Vec<u64> = theirs.map(|(&n, _)| n).collect();
        for number in numbers {
            self.placed(number, None);
        }
    }

    pub(super) fn noted(&mut self, number: u64, note: Note) {
        let ended = matches!(note, Note::Ended { .. });
        let Some(place) = self.places.get(&number) else {
            return;
        };
        if place.booker == self.shared.settings.listen.peers {
            let id = BookingId { link: OWN, number };
            let bookings = self.bookings.get_mut(&(place.service.clone(), place.shard));
            if let Some(bookings) = bookings {
                // Its own endpoints' health this node has noted already.
                let _endpoint = match note {
                    Note::Begun { .. } => bookings.on_prompt_read(id).cloned(),
                    Note::Ended { .. } => bookings.end(id),
                };
            }
        } else {
            let frame = note_frame(number, note);
            let booker = place.booker;
            if self.peers.contains_key(&booker) {
                self.send(booker, Body::PlaceNote(frame));
            }
        }
        if ended {
            self.places.remove(&number);
        }
    }

    fn book(
        &mut self,
        service: &PoolName,
        shard: Shard,
        id: BookingId,
        wish: &PlacementRequest,
    ) -> Option<EndpointId> {
        let now = self.shared.now();
        let key = (service.clone(), shard);
        if !self.bookings.contains_key(&key) {
            log::info!(event = "bookings-owned", service = service.as_str(), part = shard.index, parts = shard.count; "");
        }
        let bookings = self.bookings.entry(key).or_default();
        let directory = self.shared.directory();
        bookings.place(now, &directory, (service, shard), id, wish)
    }

    pub(super) fn asked_place(&mut self, link: LinkNumber, ask: &PlaceAsk) {
        let number = ask.number;
        let id = BookingId {
            link: link.0 + 1,
            number,
        };
        let shard = Shard {
            index: ask.shard,
            count: ask.shards,
        };
        let endpoint = ask.service.parse::<PoolName>().ok().and_then(|service| {
            let wish = wish_of(ask);
            self.book(&service, shard, id, &wish)
        });
        let endpoint = endpoint.map(|e| e.to_string()).unwrap_or_default();
        if let Some(caller) = self.callers.get(&link) {
            let _full = caller
                .sender
                .send(Body::Placed(Placed { number, endpoint }));
        }
    }

    pub(super) fn asked_note(&mut self, link: LinkNumber, note: &PlaceNote) {
        let now = self.shared.now();
        let id = BookingId {
            link: link.0 + 1,
            number: note.number,
        };
        for bookings in self.bookings.values_mut() {
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
            return;
        }
    }
}

fn ask_frame(number: u64, place: &Place, wish: PlacementRequest) -> PlaceAsk {
    PlaceAsk {
        number,
        service: place.service.to_string(),
        shard: place.shard.index,
        shards: place.shard.count,
        prefix: wish.prefix,
        shared: wish.shared_tokens,
        own: wish.own_tokens,
        domain: wish.input_domain.map(|d| d.to_string()).unwrap_or_default(),
        afar: wish.remote_cost,
        avoid: wish.avoid.iter().map(ToString::to_string).collect(),
    }
}

fn wish_of(ask: &PlaceAsk) -> PlacementRequest {
    PlacementRequest {
        prefix: ask.prefix,
        shared_tokens: ask.shared,
        own_tokens: ask.own,
        input_domain: ask.domain.parse().ok(),
        remote_cost: ask.afar,
        avoid: ask.avoid.iter().filter_map(|e| e.parse().ok()).collect(),
    }
}

fn note_frame(number: u64, note: Note) -> PlaceNote {
    let (pace, ended, failed) = match note {
        Note::Begun { pace } => (Some((pace * 100.0) as u32), false, false),
        Note::Ended { failed } => (None, true, failed),
    };
    PlaceNote {
        number,
        pace,
        ended,
        failed,
    }
}
