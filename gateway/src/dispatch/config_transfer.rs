//! Transfer of configuration records between nodes.

use std::net::SocketAddr;

use snipeyoke_lib::serving::catch_up::ConfigMark;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::slices::RECORD_MAX_BYTES;
use snipeyoke_lib::serving::slices::Slice;
use snipeyoke_lib::serving::slices::SliceRequest;
use snipeyoke_wire::RecordAsk;
use snipeyoke_wire::RecordSlice;
use snipeyoke_wire::frame::Body;

use super::convert;
use super::messages::LinkNumber;
use super::run::State;
use crate::registry::Topic;

impl State {
    /// Requests missing configuration records from a peer, if a request is due.
    pub(super) fn request_config(&mut self) {
        let now = self.shared.now();
        let owners = self.shared.owners();
        let node = self.shared.catch_up().choose_source(now, owners.live(now));
        drop(owners);
        if let Some(node) = node {
            let from = self.shared.replicas().config.next().to_string();
            log::info!(event = "config-asked-of-node", node = node.to_string().as_str(), from = from.as_str(); "");
            self.request_slice(node);
        }
    }

    /// Repeats the request to a peer whose link has just come up.
    pub(super) fn retry_config_request(&mut self, peer: SocketAddr) {
        let now = self.shared.now();
        if self.shared.catch_up().on_slice(now, peer) {
            self.request_slice(peer);
        }
    }

    fn request_slice(&mut self, node: SocketAddr) {
        let mark = self.shared.config_mark();
        let request = self.assembly.next_request(mark.next, mark.rank);
        self.send(
            node,
            Body::RecordAsk(RecordAsk {
                from: request.from.offset.0,
                from_era: request.from.era.0,
                offset: request.position.offset.0,
                offset_era: request.position.era.0,
                at: request.at,
                version: convert::version_of(request.rank),
            }),
        );
    }

    /// Responds to a peer's request for a slice.
    pub(super) fn handle_record_request(&self, link: LinkNumber, request: &RecordAsk) {
        let Some(inbound) = self.inbound.get(&link) else {
            return;
        };
        let replicas = self.shared.replicas();
        let next = replicas.config.next();
        let version = convert::version_of(replicas.config.rank());
        let slice = replicas.config.slice(SliceRequest {
            from: Position::new(request.from_era, request.from),
            rank: convert::rank_of(request.version),
            position: Position::new(request.offset_era, request.offset),
            at: request.at,
        });
        drop(replicas);
        let frame = slice.map_or_else(RecordSlice::default, frame_of);
        let bytes = frame.data.len();
        if frame.at == 0 {
            let node = inbound.node.map(|n| n.to_string()).unwrap_or_default();
            log::info!(event = "config-passed-on", node = node.as_str(), from = request.from, bytes = frame.total.unwrap_or_default(); "");
        }
        metrics::counter!("snipeyoke_config_passed_on_bytes_total").increment(bytes as u64);
        let frame = RecordSlice {
            next: next.offset.0,
            next_era: next.era.0,
            version,
            ..frame
        };
        let _full = inbound.sender.send(Body::RecordSlice(frame));
    }

    /// Applies a slice and requests the next one.
    pub(super) fn handle_slice(&mut self, peer: SocketAddr, frame: RecordSlice) {
        let now = self.shared.now();
        let complete_to = Position::new(frame.next_era, frame.next);
        let mark = ConfigMark {
            next: complete_to,
            rank: convert::rank_of(frame.version),
        };
        self.shared.on_peer_config(peer, mark, 0);
        // The peer is no longer the source of the configuration.
        if !self.shared.catch_up().on_slice(now, peer) {
            return;
        }
        if frame.offset.is_none() {
            // The peer has no change that this node lacks.
            self.shared
                .extend(Topic::Config, Vec::new(), complete_to, &peer.to_string());
            return;
        }
        let before = self.shared.config_mark();
        let previous = self.assembly.next_request(before.next, before.rank);
        let is_ahead = frame.ahead;
        let record = slice_of(frame).and_then(|slice| self.assembly.add(slice));
        let Some(record) = record else {
            if self.assembly.next_request(before.next, before.rank) == previous {
                self.reject_slice(peer);
            } else {
                self.request_slice(peer);
            }
            return;
        };
        // Ahead of other changes, the record says nothing of what lies before it.
        let next = if is_ahead {
            before.next
        } else {
            record.position.next()
        };
        self.shared
            .extend(Topic::Config, vec![record], next, &peer.to_string());
        if self.shared.config_mark() == before {
            self.reject_slice(peer);
        } else if self.shared.catch_up().on_slice(now, peer) {
            self.request_slice(peer);
        }
    }

    // An immediate retry would receive the same slice, as fast as the link
    // allows. The next poll of the peer returns what it has.
    fn reject_slice(&self, peer: SocketAddr) {
        log::warn!(event = "config-slice-unusable", node = peer.to_string().as_str(), record_max = RECORD_MAX_BYTES, remedy = "run the same release on all nodes, keep the configuration below the largest record"; "");
        self.shared.catch_up().forget_holder(peer);
    }
}

fn frame_of(slice: Slice) -> RecordSlice {
    RecordSlice {
        offset: Some(slice.position.offset.0),
        offset_era: slice.position.era.0,
        ahead: slice.is_ahead,
        key: slice.key,
        at: slice.at,
        total: slice.total,
        data: slice.data.into(),
        ..RecordSlice::default()
    }
}

fn slice_of(frame: RecordSlice) -> Option<Slice> {
    Some(Slice {
        position: Position::new(frame.offset_era, frame.offset?),
        is_ahead: frame.ahead,
        key: frame.key,
        at: frame.at,
        total: frame.total,
        data: frame.data.to_vec(),
    })
}
