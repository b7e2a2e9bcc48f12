//! Transfer of configuration records between nodes.

use std::net::SocketAddr;

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::serving::slices::RECORD_MAX_BYTES;
use snipeyoke_lib::serving::slices::Slice;
use snipeyoke_lib::serving::slices::SliceRequest;
use snipeyoke_wire::RecordAsk;
use snipeyoke_wire::RecordSlice;
use snipeyoke_wire::frame::Body;

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
            let from = self.shared.replicas().config.next();
            log::info!(event = "config-asked-of-node", node = node.to_string().as_str(), from = from.0; "");
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
        let from = self.shared.replicas().config.next();
        let request = self.assembly.next_request(from);
        self.send(
            node,
            Body::RecordAsk(RecordAsk {
                from: request.from.0,
                offset: request.offset.0,
                at: request.at,
            }),
        );
    }

    /// Responds to a peer's request for a slice.
    pub(super) fn handle_record_request(&self, link: LinkNumber, request: &RecordAsk) {
        let Some(inbound) = self.inbound.get(&link) else {
            return;
        };
        let replicas = self.shared.replicas();
        let next = replicas.config.next().0;
        let slice = replicas.config.slice(SliceRequest {
            from: Offset(request.from),
            offset: Offset(request.offset),
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
        let frame = RecordSlice { next, ..frame };
        let _full = inbound.sender.send(Body::RecordSlice(frame));
    }

    /// Applies a slice and requests the next one.
    pub(super) fn handle_slice(&mut self, peer: SocketAddr, frame: RecordSlice) {
        let now = self.shared.now();
        self.shared.on_peer_config(peer, Offset(frame.next), 0);
        // The peer is no longer the source of the configuration.
        if !self.shared.catch_up().on_slice(now, peer) {
            return;
        }
        let from = self.shared.replicas().config.next();
        let previous = self.assembly.next_request(from);
        let record = slice_of(frame).and_then(|slice| self.assembly.add(slice));
        let Some(record) = record else {
            if self.assembly.next_request(from) == previous {
                self.reject_slice(peer);
            } else {
                self.request_slice(peer);
            }
            return;
        };
        let next = record.offset.next();
        self.shared
            .extend(Topic::Config, vec![record], next, &peer.to_string());
        if self.shared.catch_up().on_slice(now, peer) {
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
        next: 0,
        offset: Some(slice.offset.0),
        key: slice.key,
        at: slice.at,
        total: slice.total,
        data: slice.data.into(),
    }
}

fn slice_of(frame: RecordSlice) -> Option<Slice> {
    Some(Slice {
        offset: Offset(frame.offset?),
        key: frame.key,
        at: frame.at,
        total: frame.total,
        data: frame.data.to_vec(),
    })
}
